package store

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// File is an open file in a data folder.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// Disk is the part of a file system that the store uses. Tests replace it to
// inject write failures and crashes.
type Disk interface {
	Open(path string, flag int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// System is the file system of the operating system.
type System struct{}

// Open opens a file with the flags of os.OpenFile.
func (System) Open(path string, flag int) (File, error) { return os.OpenFile(path, flag, 0o600) }

// Rename moves a file and replaces the target.
func (System) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (System) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes created, renamed and removed files in a folder durable.
func (System) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}
