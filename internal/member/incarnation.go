package member

import (
	"math/rand/v2"

	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// incarnationBits is the random part of an incarnation.
const incarnationBits = 20

// NewIncarnation returns the number of a process's life. A later life on the
// same VM has a higher number; the random part tells lives apart that started
// in the same millisecond.
func NewIncarnation(now clock.Millis) uint64 {
	return uint64(now)<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}
