package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns the weight of a name for a key in rendezvous hashing. The
// name with the highest weight is chosen, so adding or removing a name moves
// only the keys of that name.
func rendezvous(key uint64, name string) uint64 {
	mixed := xxhash.Sum64String(name) ^ (key * 0x9E3779B97F4A7C15)
	mixed ^= mixed >> 33
	mixed *= 0xFF51AFD7ED558CCD
	mixed ^= mixed >> 33
	mixed *= 0xC4CEB9FE1A85EC53
	return mixed ^ mixed>>33
}

// Subset returns the count names with the highest weights for a key.
func Subset(key string, names []string, count int) []string {
	if count >= len(names) {
		return slices.Clone(names)
	}
	hash := xxhash.Sum64String(key)
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(first, second string) int {
		return cmp.Compare(rendezvous(hash, second), rendezvous(hash, first))
	})
	return ordered[:count]
}
