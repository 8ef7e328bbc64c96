package scale

import (
	"os"
	"path/filepath"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

// Run measures all slopes that the projections in docs/CAPACITY.md use.
func Run(report *figure.Report) error {
	folder, err := os.MkdirTemp("", "hibiscuslug-scale")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	measureRecords(report)
	measureConfiguration(report)
	measureMembership(report)
	if err := measureStreams(report, filepath.Join(folder, "streams")); err != nil {
		return err
	}
	return measureRequests(report, filepath.Join(folder, "requests"))
}
