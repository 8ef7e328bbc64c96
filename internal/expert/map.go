// Package expert defines the expert map of a rank group, and a protocol that
// switches a group from one map to the next, so that in every step all ranks use
// the same map. A step is one pass of the group over its batch. A Gate decides for
// each rank whether it may begin a step and with which map; a Coordinator drives
// the gates of a group to the newest map. Both only decide; they perform no I/O.
//
// In production, packages swap and coord switch the maps. Gate and Coordinator are
// an alternative for engines behind the endpoint processes of this project; only
// bench/expert uses them today.
package expert

import (
	"encoding/binary"
	"slices"

	"github.com/cockroachdb/errors"
)

// Map assigns experts to ranks. Slot s of a layer is on rank s/SlotsPerRank and
// holds one expert or is Free. An expert may have several slots. A Map is
// immutable.
type Map struct {
	ranks        int
	slotsPerRank int
	// layers holds the expert of each slot, layer by layer.
	layers [][]uint16
}

// Free marks a slot that holds no expert.
const Free = uint16(1<<16 - 1)

// NewMap returns a map of the given layers of slots.
func NewMap(ranks, slotsPerRank int, layers [][]uint16) (Map, error) {
	for at, slots := range layers {
		if len(slots) != ranks*slotsPerRank {
			return Map{}, errors.Newf("layer %d has %d slots; %d ranks with %d slots each need %d", at, len(slots), ranks, slotsPerRank, ranks*slotsPerRank)
		}
	}
	return Map{ranks: ranks, slotsPerRank: slotsPerRank, layers: layers}, nil
}

// Ranks returns the number of ranks.
func (plan Map) Ranks() int { return plan.ranks }

// SlotsPerRank returns the number of slots of a rank in each layer.
func (plan Map) SlotsPerRank() int { return plan.slotsPerRank }

// Layers returns the number of layers.
func (plan Map) Layers() int { return len(plan.layers) }

// Slots returns the expert of each slot of a layer. The caller must not modify
// it.
func (plan Map) Slots(layer int) []uint16 { return plan.layers[layer] }

// RankOf returns the rank of a slot.
func (plan Map) RankOf(slot int) int { return slot / plan.slotsPerRank }

// WithSlot returns a copy of the map with another expert in one slot.
func (plan Map) WithSlot(layer, slot int, expert uint16) Map {
	plan.layers = slices.Clone(plan.layers)
	plan.layers[layer] = slices.Clone(plan.layers[layer])
	plan.layers[layer][slot] = expert
	return plan
}

// WithLayer returns a copy of the map with other experts in one layer.
func (plan Map) WithLayer(layer int, slots []uint16) Map {
	plan.layers = slices.Clone(plan.layers)
	plan.layers[layer] = slots
	return plan
}

// Copies returns the number of experts that ranks have to load when this map
// replaces an old one: those that a rank holds in this map and not in the old
// one.
func (plan Map) Copies(old Map) int {
	copies := 0
	for rank := range plan.ranks {
		copies += plan.copiesOf(old, rank)
	}
	return copies
}

// RankCopies returns the largest number of experts that one rank has to load when
// this map replaces an old one.
func (plan Map) RankCopies(old Map) int {
	most := 0
	for rank := range plan.ranks {
		most = max(most, plan.copiesOf(old, rank))
	}
	return most
}

func (plan Map) copiesOf(old Map, rank int) int {
	copies := 0
	for layer := range plan.layers {
		before := old.rankSlots(layer, rank)
		for _, expert := range plan.rankSlots(layer, rank) {
			if expert != Free && !slices.Contains(before, expert) {
				copies++
			}
		}
	}
	return copies
}

func (plan Map) rankSlots(layer, rank int) []uint16 {
	return plan.layers[layer][rank*plan.slotsPerRank : (rank+1)*plan.slotsPerRank]
}

// Encode returns the encoding of the map in a group record.
func (plan Map) Encode() []byte {
	buf := binary.AppendUvarint(nil, uint64(plan.ranks))
	buf = binary.AppendUvarint(buf, uint64(plan.slotsPerRank))
	buf = binary.AppendUvarint(buf, uint64(len(plan.layers)))
	for _, slots := range plan.layers {
		for _, expert := range slots {
			buf = binary.AppendUvarint(buf, uint64(expert))
		}
	}
	return buf
}

// maxSlots bounds the size of a decoded map; the largest map planned for has 32
// ranks with 8 slots in 128 layers.
const maxSlots = 1 << 20

// Decode decodes a map from a group record.
func Decode(buf []byte) (Map, error) {
	var head [3]uint64
	for at := range head {
		value, size := binary.Uvarint(buf)
		if size <= 0 || value > maxSlots {
			return Map{}, errors.New("expert map: header is truncated or too large")
		}
		head[at], buf = value, buf[size:]
	}
	perLayer := head[0] * head[1]
	if perLayer*head[2] > maxSlots {
		return Map{}, errors.Newf("expert map: %d slots in each of %d layers exceed the limit of %d slots", perLayer, head[2], maxSlots)
	}
	layers := make([][]uint16, head[2])
	for layer := range layers {
		layers[layer] = make([]uint16, perLayer)
		for slot := range layers[layer] {
			value, size := binary.Uvarint(buf)
			if size <= 0 || value > 1<<16-1 {
				return Map{}, errors.Newf("expert map: slot %d of layer %d is truncated or out of range", slot, layer)
			}
			layers[layer][slot], buf = uint16(value), buf[size:]
		}
	}
	return NewMap(int(head[0]), int(head[1]), layers)
}
