package bounds

import (
	"math"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxCount is the largest integer that a float64 holds exactly.
const maxCount = 1 << 53

// Count is an integer setting that another system may write as a decimal
// fraction or with an exponent, such as 2.0 or 2e0. A fraction is rounded up.
type Count int

// UnmarshalFlag parses a count from a flag.
func (count *Count) UnmarshalFlag(text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.Abs(value) > maxCount {
		return errors.Newf("%q is not a number such as 2", text)
	}
	*count = Count(math.Ceil(value))
	return nil
}
