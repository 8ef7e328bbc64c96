package store

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// headerSize is the length and the checksum in front of each record.
	headerSize = 8
	// maxRecord bounds a log record, so that a torn length is noticed. Entries
	// stay below the 4 MiB limit of a frame.
	maxRecord = 8 << 20
	// segmentSize is the size from which a new segment is begun, in bytes.
	segmentSize = 8 << 20
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of the journal.
type segment struct {
	path   string
	number uint64
	file   File
	// size is the part of the file that is known to be synced.
	size int64
	// last is the highest index that the segment holds.
	last uint64
}

func segmentPath(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("journal-%016d", number))
}

func openSegment(disk Disk, folder string, number uint64) (*segment, error) {
	path := segmentPath(folder, number)
	file, err := disk.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, errors.Wrap(err, "open journal segment")
	}
	return &segment{path: path, number: number, file: file}, nil
}

// read returns the intact entries, and whether complete bytes follow them that
// are no intact record. An unfinished last record is no damage: its write was
// never acknowledged.
func (part *segment) read() ([]*wire.Entry, bool, error) {
	var entries []*wire.Entry
	reader := bufio.NewReaderSize(part.file, 1<<20)
	header := make([]byte, headerSize)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return entries, false, atEnd(err)
		}
		length := binary.LittleEndian.Uint32(header)
		if binary.LittleEndian.Uint64(header) == 0 {
			// A file system may extend a file before it writes the data.
			return entries, false, nil
		}
		if length == 0 || length > maxRecord {
			return entries, true, nil
		}
		record := make([]byte, length)
		if _, err := io.ReadFull(reader, record); err != nil {
			return entries, false, atEnd(err)
		}
		entry, ok := decode(header, record)
		if !ok {
			following, _ := reader.Peek(1)
			return entries, len(following) > 0, nil
		}
		entries = append(entries, entry)
		part.size += headerSize + int64(length)
		part.last = max(part.last, entry.GetIndex())
	}
}

func decode(header, record []byte) (*wire.Entry, bool) {
	entry := &wire.Entry{}
	intact := crc32.Checksum(record, checksums) == binary.LittleEndian.Uint32(header[4:])
	return entry, intact && entry.UnmarshalVT(record) == nil
}

// atEnd returns read errors other than the end of the file.
func atEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.Wrap(err, "read journal segment")
}

// cut drops everything behind the synced part.
func (part *segment) cut() error {
	if err := part.file.Truncate(part.size); err != nil {
		return errors.Wrap(err, "cut journal segment")
	}
	_, err := part.file.Seek(part.size, io.SeekStart)
	return errors.Wrap(err, "seek in journal segment")
}

// write adds records and syncs them.
func (part *segment) write(records []byte, last uint64) error {
	if _, err := part.file.Write(records); err != nil {
		return errors.Wrap(err, "write journal segment")
	}
	if err := part.file.Sync(); err != nil {
		return errors.Wrap(err, "sync journal segment")
	}
	part.size += int64(len(records))
	part.last = max(part.last, last)
	return nil
}

func appendRecord(buf, record []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(record, checksums))
	return append(buf, record...)
}
