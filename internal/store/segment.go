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
	// headerSize is the size of the header of a record, in bytes: 4 bytes of
	// length and 4 bytes of checksum.
	headerSize = 8
	// maxRecordBytes is the maximum size of a log record, so that a corrupt length
	// is detected. Entries stay below the 4 MiB limit of a frame.
	maxRecordBytes = 8 << 20
	// segmentBytes is the size at which the log rolls to a new segment.
	segmentBytes = 8 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of the log.
type segment struct {
	path   string
	number uint64
	file   File
	// size is the length of the intact part of the file, in bytes. Writes add to
	// it after the sync.
	size int64
	// last is the highest log index in the segment.
	last uint64
}

func segmentPath(folder string, number uint64) string {
	return filepath.Join(folder, fmt.Sprintf("journal-%016d", number))
}

func openSegment(disk FileSystem, folder string, number uint64) (*segment, error) {
	path := segmentPath(folder, number)
	file, err := disk.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, errors.Wrap(err, "open journal segment")
	}
	return &segment{path: path, number: number, file: file}, nil
}

// read returns the intact entries and reports whether the bytes after them are
// damaged. An incomplete last record is not damage, because its write was never
// acknowledged.
func (segment *segment) read() ([]*wire.Entry, bool, error) {
	var entries []*wire.Entry
	reader := bufio.NewReaderSize(segment.file, 1<<20)
	header := make([]byte, headerSize)
	for {
		if _, err := io.ReadFull(reader, header); err != nil {
			return entries, false, ignoreEOF(err)
		}
		length := binary.LittleEndian.Uint32(header)
		if binary.LittleEndian.Uint64(header) == 0 {
			// After a crash, a file may end in zeros: file systems may extend a file
			// before they write the data.
			return entries, false, nil
		}
		if length == 0 || length > maxRecordBytes {
			return entries, true, nil
		}
		record := make([]byte, length)
		if _, err := io.ReadFull(reader, record); err != nil {
			return entries, false, ignoreEOF(err)
		}
		entry, ok := decode(header, record)
		if !ok {
			following, _ := reader.Peek(1)
			return entries, len(following) > 0, nil
		}
		entries = append(entries, entry)
		segment.size += headerSize + int64(length)
		segment.last = max(segment.last, entry.GetIndex())
	}
}

// decode returns the entry of a record and reports whether it is intact.
func decode(header, record []byte) (*wire.Entry, bool) {
	entry := &wire.Entry{}
	intact := crc32.Checksum(record, castagnoli) == binary.LittleEndian.Uint32(header[4:])
	return entry, intact && entry.UnmarshalVT(record) == nil
}

// ignoreEOF returns a read error unless it is the end of the file.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.Wrap(err, "read journal segment")
}

// truncate drops everything after the intact part.
func (segment *segment) truncate() error {
	if err := segment.file.Truncate(segment.size); err != nil {
		return errors.Wrap(err, "truncate journal segment")
	}
	_, err := segment.file.Seek(segment.size, io.SeekStart)
	return errors.Wrap(err, "seek in journal segment")
}

// write appends records and syncs them.
func (segment *segment) write(records []byte, last uint64) error {
	if _, err := segment.file.Write(records); err != nil {
		return errors.Wrap(err, "write journal segment")
	}
	if err := segment.file.Sync(); err != nil {
		return errors.Wrap(err, "sync journal segment")
	}
	segment.size += int64(len(records))
	segment.last = max(segment.last, last)
	return nil
}

// appendRecord appends a record with its header to a buffer.
func appendRecord(buf, record []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(record)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(record, castagnoli))
	return append(buf, record...)
}
