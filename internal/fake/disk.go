package fake

import (
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/store"
)

// Errors of a Disk.
var (
	ErrFull    = error(syscall.ENOSPC)
	ErrCrashed = errors.New("the machine has crashed")
)

// Disk wraps the machine's file system to simulate a full disk or a crash after
// a number of operations.
type Disk struct {
	system store.OSFileSystem

	// mu guards the fields below.
	mu sync.Mutex
	// freeBytes is the number of bytes that can still be written; negative means
	// no limit.
	freeBytes int
	// operationsLeft is the number of operations before the crash; negative
	// means no crash.
	operationsLeft int
	// synced holds the size of each file that was opened up to its last sync.
	synced map[string]int64
	// isDark is set once the machine has lost power.
	isDark bool
}

// NewDisk returns a disk with neither a limit nor a crash.
func NewDisk() *Disk { return &Disk{freeBytes: -1, operationsLeft: -1, synced: map[string]int64{}} }

// PowerOff fails all later operations and cuts each file to its size at the last sync.
func (disk *Disk) PowerOff() error {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.operationsLeft, disk.isDark = 0, true
	var failure error
	for path, size := range disk.synced {
		if err := os.Truncate(path, size); err != nil && !errors.Is(err, os.ErrNotExist) {
			failure = errors.CombineErrors(failure, err)
		}
	}
	return failure
}

// noteSynced records the present size of a file as durable.
func (disk *Disk) noteSynced(path string) error {
	found, err := os.Stat(path)
	if err != nil {
		return err
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.synced[path] = found.Size()
	return nil
}

func (disk *Disk) hasPower() bool {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	return !disk.isDark
}

// SetRoom limits the bytes by which files can grow from now on; a negative number
// removes the limit.
func (disk *Disk) SetRoom(freeBytes int) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.freeBytes = freeBytes
}

// CrashAfter lets that many more operations succeed and fails all later ones.
func (disk *Disk) CrashAfter(operations int) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.operationsLeft = operations
}

func (disk *Disk) countOperation() error {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.operationsLeft == 0 {
		return ErrCrashed
	}
	if disk.operationsLeft > 0 {
		disk.operationsLeft--
	}
	return nil
}

// reserve returns how many of the wanted bytes fit and deducts them.
func (disk *Disk) reserve(wanted int) int {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.freeBytes < 0 {
		return wanted
	}
	fits := min(wanted, disk.freeBytes)
	disk.freeBytes -= fits
	return fits
}

// sizeOf returns the size of a file, or 0 if there is none.
func sizeOf(path string) int64 {
	found, err := os.Stat(path)
	if err != nil {
		return 0
	}
	return found.Size()
}

// release gives back bytes that a file no longer takes.
func (disk *Disk) release(bytes int64) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if disk.freeBytes >= 0 {
		disk.freeBytes += int(max(bytes, 0))
	}
}

// Open opens a file whose writes are subject to the disk's faults.
func (disk *Disk) Open(path string, flag int) (store.File, error) {
	if err := disk.countOperation(); err != nil {
		return nil, err
	}
	before := sizeOf(path)
	opened, err := disk.system.Open(path, flag)
	if err != nil {
		return nil, err
	}
	disk.release(before - sizeOf(path))
	disk.mu.Lock()
	_, known := disk.synced[path]
	disk.mu.Unlock()
	if !known {
		if err := disk.noteSynced(path); err != nil {
			return nil, errors.CombineErrors(err, opened.Close())
		}
	}
	return &file{File: opened, disk: disk, path: path}, nil
}

// Rename renames a file, replacing an existing one.
func (disk *Disk) Rename(from, to string) error {
	if err := disk.countOperation(); err != nil {
		return err
	}
	disk.mu.Lock()
	if size, ok := disk.synced[from]; ok {
		disk.synced[to] = size
		delete(disk.synced, from)
	}
	disk.mu.Unlock()
	disk.release(sizeOf(to))
	return disk.system.Rename(from, to)
}

// Remove removes a file.
func (disk *Disk) Remove(path string) error {
	if err := disk.countOperation(); err != nil {
		return err
	}
	disk.mu.Lock()
	delete(disk.synced, path)
	disk.mu.Unlock()
	disk.release(sizeOf(path))
	return disk.system.Remove(path)
}

// SyncFolder makes renames in a folder durable.
func (disk *Disk) SyncFolder(path string) error {
	if err := disk.countOperation(); err != nil {
		return err
	}
	return disk.system.SyncFolder(path)
}

// file is an open file on a Disk. A write that does not fit is cut short, and a
// write during a crash is torn.
type file struct {
	store.File
	disk *Disk
	path string
}

// Write writes the bytes that fit. After the crash it still writes the first
// half of them, as a torn write does, and fails.
func (file *file) Write(text []byte) (int, error) {
	if err := file.disk.countOperation(); err != nil {
		if file.disk.hasPower() {
			_, _ = file.File.Write(text[:len(text)/2])
		}
		return 0, err
	}
	fits := file.disk.reserve(len(text))
	written, err := file.File.Write(text[:fits])
	if err == nil && fits < len(text) {
		err = ErrFull
	}
	return written, err
}

// Sync flushes the writes to stable storage.
func (file *file) Sync() error {
	if err := file.disk.countOperation(); err != nil {
		return err
	}
	if err := file.File.Sync(); err != nil {
		return err
	}
	return file.disk.noteSynced(file.path)
}

// Truncate changes the size of the file.
func (file *file) Truncate(size int64) error {
	if err := file.disk.countOperation(); err != nil {
		return err
	}
	file.disk.release(sizeOf(file.path) - size)
	return file.File.Truncate(size)
}
