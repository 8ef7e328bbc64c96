// Package route benchmarks retries, the detection of silent connections, and the
// blocking of requests that crash engines.
package route

import (
	"os"

	"github.com/hibiscuslug/hibiscuslug/internal/figure"
)

// seeds is the number of runs of each measurement, with consecutive seeds.
const seeds = 3

// Run measures the suite's figures.
func Run(report *figure.Report) error {
	amplification(report)
	if err := silent(report); err != nil {
		return err
	}
	if err := falseAlarms(report); err != nil {
		return err
	}
	return poison(report)
}

// poison reports the worst of the runs, since its targets apply to each of them.
func poison(report *figure.Report) error {
	crashed, blocked := 0, 0
	for seed := report.Seed; seed < report.Seed+seeds; seed++ {
		result, err := poisonRun(seed)
		if err != nil {
			return err
		}
		report.Note("poison seed %d: %d endpoints lost, %d of %d sends refused, %d innocent requests, %d of them blocked, %d without their whole answer",
			seed, result.Crashed, result.Refusals, poisonRequests, result.Innocent, result.Blocked, len(result.Broken))
		for _, broken := range result.Broken {
			report.Note("poison seed %d: %s", seed, broken)
		}
		crashed, blocked = max(crashed, result.Crashed), max(blocked, result.Blocked)
	}
	report.Add("poison.endpointsLost", float64(crashed), "endpoints")
	report.Add("poison.innocentBlocked", float64(blocked), "requests")
	return nil
}

func poisonRun(seed uint64) (PoisonResult, error) {
	dir, err := os.MkdirTemp("", "hibbench")
	if err != nil {
		return PoisonResult{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	cluster, err := PoisonCluster(dir)
	if err != nil {
		return PoisonResult{}, err
	}
	defer func() { _ = cluster.Close() }()
	return Poison(cluster, seed)
}
