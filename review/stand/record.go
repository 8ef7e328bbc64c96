package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// note writes one line.
func (record *record) note(format string, values ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%8.3f "+format+"\n", append([]any{time.Since(record.began).Seconds()}, values...)...)
}

// at returns an instant as it stands in the record.
func (record *record) at(instant time.Time) float64 { return instant.Sub(record.began).Seconds() }

func (record *record) close() error { return record.file.Close() }
