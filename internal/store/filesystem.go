package store

import (
	"io"
	"os"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
)

// refusals are the errors with which a disk refuses writes until it has room or answers again.
var refusals = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO}

// IsRefused reports whether an error means that the disk refuses writes, which may pass, in
// contrast to a folder that cannot be used.
func IsRefused(err error) bool {
	return slices.ContainsFunc(refusals, func(refusal error) bool { return errors.Is(err, refusal) })
}

// File is an open file in a data folder.
type File interface {
	io.ReadWriteSeeker
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FileSystem is the part of a file system that the store uses. Tests replace it to
// inject write failures and crashes.
type FileSystem interface {
	Open(path string, flag int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	SyncFolder(path string) error
}

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// Open opens a file with the flags of os.OpenFile.
func (OSFileSystem) Open(path string, flag int) (File, error) { return os.OpenFile(path, flag, 0o600) }

// Rename moves a file and replaces the target.
func (OSFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFileSystem) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes created, renamed and removed files in a folder durable.
func (OSFileSystem) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(folder.Sync(), folder.Close())
}
