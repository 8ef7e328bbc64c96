package member

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// incarnationBits is the number of random bits in an incarnation.
const incarnationBits = 20

// NewIncarnation returns a number that identifies one run of a process. A later
// run on the same VM has a higher number; the random part distinguishes runs
// that started in the same millisecond.
func NewIncarnation(now clock.Millis) uint64 {
	return uint64(now)<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}
