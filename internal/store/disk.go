package store

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// File is an open file of a data folder.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// Disk is what the store needs of a file system. Tests replace it to make
// writes fail.
type Disk interface {
	Open(path string, flag int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// System is the machine's file system.
type System struct{}

// Open opens a file.
func (System) Open(path string, flag int) (File, error) { return os.OpenFile(path, flag, 0o600) }

// Rename replaces a file.
func (System) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (System) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes renames in a folder durable.
func (System) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}
