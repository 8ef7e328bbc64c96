// Package store keeps the control VMs' log on disk. A record is durable once
// Sync has returned.
package store

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// headerSize is the length and the checksum in front of each record.
const headerSize = 8

// maxRecord bounds a record, so that a torn length is noticed.
const maxRecord = 64 << 20

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Journal is an append-only file of log entries.
type Journal struct {
	file *os.File
}

// Open opens the journal in a data folder and returns its intact entries. A
// torn or damaged tail is cut off.
func Open(folder string) (*Journal, []*wire.Entry, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errors.Wrap(err, "create data folder")
	}
	file, err := os.OpenFile(filepath.Join(folder, "journal"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open journal")
	}
	entries, size := read(file)
	if err := file.Truncate(size); err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "cut torn tail"), file.Close())
	}
	if _, err := file.Seek(size, io.SeekStart); err != nil {
		return nil, nil, errors.CombineErrors(errors.Wrap(err, "seek"), file.Close())
	}
	return &Journal{file: file}, entries, nil
}

// read returns the intact entries and the size of the file that they fill.
func read(file io.Reader) ([]*wire.Entry, int64) {
	var entries []*wire.Entry
	var size int64
	reader := bufio.NewReader(file)
	header := make([]byte, headerSize)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return entries, size
		}
		length := binary.LittleEndian.Uint32(header)
		if length > maxRecord {
			return entries, size
		}
		record := make([]byte, length)
		if _, err := io.ReadFull(reader, record); err != nil {
			return entries, size
		}
		entry := &wire.Entry{}
		if crc32.Checksum(record, checksums) != binary.LittleEndian.Uint32(header[4:]) || entry.UnmarshalVT(record) != nil {
			return entries, size
		}
		entries = append(entries, entry)
		size += headerSize + int64(length)
	}
}

// Append writes entries and syncs them.
func (journal *Journal) Append(entries ...*wire.Entry) error {
	var buf []byte
	for _, entry := range entries {
		record, err := entry.MarshalVT()
		if err != nil {
			return errors.Wrap(err, "marshal log entry")
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(record, checksums))
		buf = append(buf, record...)
	}
	if _, err := journal.file.Write(buf); err != nil {
		return errors.Wrap(err, "write journal")
	}
	return errors.Wrap(journal.file.Sync(), "sync journal")
}

// Close closes the file.
func (journal *Journal) Close() error {
	return journal.file.Close()
}
