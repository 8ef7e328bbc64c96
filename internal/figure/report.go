// Package figure prints measured values and stores them for comparison.
package figure

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Report collects the figures of a run.
type Report struct {
	Seed     uint64   `json:"seed"`
	Revision string   `json:"revision"`
	Figures  []Figure `json:"figures"`

	out io.Writer
	// mu guards Figures.
	mu sync.Mutex
}

// NewReport returns a report that prints each figure to out when it is added.
func NewReport(out io.Writer, seed uint64, revision string) *Report {
	return &Report{Seed: seed, Revision: revision, out: out}
}

// Add prints a figure and adds it to the report.
func (report *Report) Add(name string, value float64, unit string) {
	report.mu.Lock()
	defer report.mu.Unlock()
	report.Figures = append(report.Figures, Figure{Name: name, Value: value, Unit: unit})
	fmt.Fprintf(report.out, "figure %s %g %s\n", name, value, unit)
}

// Note prints a remark about the run. Remarks are not saved.
func (report *Report) Note(format string, values ...any) {
	fmt.Fprintf(report.out, "note "+format+"\n", values...)
}

// Save writes the report as JSON.
func (report *Report) Save(path string) error {
	text, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o600)
}

// Median returns the median of an odd number of values.
func Median(values ...float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
