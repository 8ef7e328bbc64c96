// Package pace finds ranks of a group that are slower than the others. It performs no
// I/O and reads no clock. The coordinator of the expert maps uses it.
package pace

import "slices"

const (
	// slowPace is the pace from which a rank is slow, in median paces of its group.
	// Below it, differences are noise.
	slowPace = 1.2
	// maxPace bounds a pace that an engine reports, so that no product with it is
	// infinite.
	maxPace = 1000
	// confirmReads is the number of consecutive reads that find a rank slow, or fast
	// again, before it counts as such.
	confirmReads = 2
	// sameChange is the relative change of the pace of a slow rank up to which the
	// earlier value is kept, so that noise does not move experts.
	sameChange = 0.15
)

// Ranks holds the paces of the ranks of a group: by how many times each is slower
// than usual. It is immutable; the zero value has no ranks.
type Ranks struct {
	// paces holds the confirmed pace of each rank, 1 unless it is slow.
	paces []float64
	// last holds the relative paces of the last read; other counts the consecutive
	// reads that differ from what is confirmed.
	last  []float64
	other []int
}

// WithRead returns the ranks after a read of the paces that they report; 0 stands for
// an unknown one. Paces count relative to the median, so that a group that is slow as
// a whole has no slow rank.
func (ranks Ranks) WithRead(reported []float64) Ranks {
	relative := relativeToMedian(reported)
	next := Ranks{paces: make([]float64, len(reported)), last: relative, other: make([]int, len(reported))}
	isNew := len(ranks.paces) != len(reported)
	for rank, pace := range relative {
		next.paces[rank] = 1
		if !isNew {
			next.paces[rank] = ranks.paces[rank]
		}
		switch isSlow := pace >= slowPace; {
		case isSlow == (next.paces[rank] > 1):
			if isSlow && (pace > (1+sameChange)*next.paces[rank] || pace < next.paces[rank]/(1+sameChange)) {
				next.paces[rank] = pace
			}
			continue
		case !isNew:
			next.other[rank] = ranks.other[rank]
		}
		if next.other[rank]++; next.other[rank] < confirmReads {
			continue
		}
		next.other[rank] = 0
		if pace < slowPace {
			next.paces[rank] = 1
		} else {
			next.paces[rank] = min(pace, ranks.last[rank])
		}
	}
	return next
}

// Paces returns the pace of each rank, which is 1 for ranks that are not slow. The
// caller must not modify it.
func (ranks Ranks) Paces() []float64 { return ranks.paces }

// Slow returns the slow ranks.
func (ranks Ranks) Slow() []int {
	var slow []int
	for rank, pace := range ranks.paces {
		if pace > 1 {
			slow = append(slow, rank)
		}
	}
	return slow
}

// relativeToMedian returns the paces in median paces. An unknown one counts as 1.
func relativeToMedian(reported []float64) []float64 {
	paces := make([]float64, len(reported))
	for rank, pace := range reported {
		paces[rank] = 1
		if pace > 0 {
			paces[rank] = min(pace, maxPace)
		}
	}
	ordered := slices.Sorted(slices.Values(paces))
	for rank := range paces {
		paces[rank] /= ordered[(len(ordered)-1)/2]
	}
	return paces
}
