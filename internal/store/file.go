package store

import (
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Names of the files that are always replaced as a whole. The state file contains
// the disk id, the term and the vote.
const (
	stateName = "state"
	imageName = "image"
)

// replaceFile writes a file atomically: after a crash, either the old or the new
// one is left.
func (store *Store) replaceFile(name string, record []byte) error {
	path := filepath.Join(store.folder, name)
	temporary := path + ".tmp"
	file, err := store.disk.Open(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return errors.Wrapf(err, "open %s", temporary)
	}
	_, err = file.Write(appendRecord(nil, record))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		// The part that was written takes room that other writes need.
		return errors.CombineErrors(errors.Wrapf(err, "write %s", temporary), store.disk.Remove(temporary))
	}
	if err := store.disk.Rename(temporary, path); err != nil {
		return errors.Wrapf(err, "rename %s", temporary)
	}
	return errors.Wrapf(store.disk.SyncFolder(store.folder), "sync folder %s", store.folder)
}

// readFile returns the record in a file that replaceFile has written, or nil if
// there is no file.
func (store *Store) readFile(name string) ([]byte, error) {
	path := filepath.Join(store.folder, name)
	file, err := store.disk.Open(path, os.O_RDONLY)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	data, err := io.ReadAll(file)
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	if len(data) < headerSize || crc32.Checksum(data[headerSize:], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, errors.Newf("%s is damaged; empty the data folder so that this control VM joins with a new disk id", path)
	}
	return data[headerSize:], nil
}
