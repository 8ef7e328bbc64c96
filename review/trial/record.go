package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// record is the file that tells what was sent, answered and run, with the time in
// milliseconds since the start of the case.
type record struct {
	began time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// note writes one line.
func (record *record) note(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	if record.writer == nil {
		return
	}
	fmt.Fprintf(record.writer, "%8.1f ", float64(time.Since(record.began))/float64(time.Millisecond))
	fmt.Fprintf(record.writer, format, values...)
	fmt.Fprintln(record.writer)
}

func (record *record) close() error {
	record.mu.Lock()
	defer record.mu.Unlock()
	err := errors.CombineErrors(record.writer.Flush(), record.file.Close())
	record.writer = nil
	return err
}
