package fake

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/store"
)

// Errors of a Disk.
var (
	ErrFull    = errors.New("no space left on device")
	ErrCrashed = errors.New("the machine has crashed")
)

// Disk is the machine's file system with limited room, or one that crashes
// after a number of operations.
type Disk struct {
	system store.OSFileSystem

	// mu guards the fields below.
	mu sync.Mutex
	// room is the number of bytes that can be written; negative for no limit.
	room int
	// left is the number of operations before the crash; negative for none.
	left int
}

// NewDisk returns a disk without a limit.
func NewDisk() *Disk { return &Disk{room: -1, left: -1} }

// SetRoom limits the bytes that can be written from now on.
func (disk *Disk) SetRoom(room int) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.room = room
}

// CrashAfter makes every operation fail after the next ones.
func (disk *Disk) CrashAfter(operations int) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.left = operations
}

func (disk *Disk) use() error {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.left == 0 {
		return ErrCrashed
	}
	if disk.left > 0 {
		disk.left--
	}
	return nil
}

// take returns how many of the wanted bytes there is room for.
func (disk *Disk) take(wanted int) int {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.room < 0 {
		return wanted
	}
	taken := min(wanted, disk.room)
	disk.room -= taken
	return taken
}

// Open opens a file.
func (disk *Disk) Open(path string, flag int) (store.File, error) {
	if err := disk.use(); err != nil {
		return nil, err
	}
	opened, err := disk.system.Open(path, flag)
	if err != nil {
		return nil, err
	}
	return &file{File: opened, disk: disk}, nil
}

// Rename replaces a file.
func (disk *Disk) Rename(from, to string) error {
	if err := disk.use(); err != nil {
		return err
	}
	return disk.system.Rename(from, to)
}

// Remove removes a file.
func (disk *Disk) Remove(path string) error {
	if err := disk.use(); err != nil {
		return err
	}
	return disk.system.Remove(path)
}

// SyncFolder makes renames durable.
func (disk *Disk) SyncFolder(path string) error {
	if err := disk.use(); err != nil {
		return err
	}
	return disk.system.SyncFolder(path)
}

// file writes as much as the disk has room for; a crash tears a write.
type file struct {
	store.File
	disk *Disk
}

// Write writes what fits.
func (part *file) Write(text []byte) (int, error) {
	if err := part.disk.use(); err != nil {
		_, _ = part.File.Write(text[:len(text)/2])
		return 0, err
	}
	taken := part.disk.take(len(text))
	written, err := part.File.Write(text[:taken])
	if err == nil && taken < len(text) {
		err = ErrFull
	}
	return written, err
}

// Sync makes writes durable.
func (part *file) Sync() error {
	if err := part.disk.use(); err != nil {
		return err
	}
	return part.File.Sync()
}

// Truncate cuts the file.
func (part *file) Truncate(size int64) error {
	if err := part.disk.use(); err != nil {
		return err
	}
	return part.File.Truncate(size)
}
