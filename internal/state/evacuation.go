package state

import (
	"regexp"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// zonePattern matches the names of availability zones.
var zonePattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,64}$`)

// CheckZone returns a RefusedError if a name cannot be that of an availability zone.
func CheckZone(zone string) error {
	if !zonePattern.MatchString(zone) {
		return refuse(CodeInvalid, "%q is not a zone; expected 1 to 64 letters, digits, '-', '_' and '.'", zone)
	}
	return nil
}

// Evacuations returns the latest order about each zone, sorted by zone.
func (state *State) Evacuations() []*wire.Evacuation { return sorted(state.evacuations) }

// Evacuation returns the latest order about a zone.
func (state *State) Evacuation(zone string) (*wire.Evacuation, bool) {
	record, ok := state.evacuations[zone]
	return record, ok
}

// IsEvacuated reports whether the endpoints of a zone get no requests.
func (state *State) IsEvacuated(zone string) bool { return state.evacuations[zone].GetActive() }

// EvacuatedZones returns the number of evacuated zones.
func (state *State) EvacuatedZones() int {
	count := 0
	for _, record := range state.evacuations {
		if record.GetActive() {
			count++
		}
	}
	return count
}

// putEvacuation stores an order about a zone. One that the zone's record already
// fulfils is accepted and changes nothing, so that it may be sent again. One that was
// made for another record than the present is refused as a conflict, so that a delayed
// order does not undo a later one.
func (state *State) putEvacuation(order *wire.Evacuation, at int64) error {
	if err := CheckZone(order.GetZone()); err != nil {
		return err
	}
	current := state.evacuations[order.GetZone()]
	if current.GetActive() == order.GetActive() {
		return nil
	}
	if current.GetRevision() != order.GetAfter() {
		return refuse(CodeConflict, "zone %s is at revision %d; the order was made for revision %d", order.GetZone(), current.GetRevision(), order.GetAfter())
	}
	state.evacuations = with(state.evacuations, order.GetZone(), &wire.Evacuation{
		Zone: order.GetZone(), Active: order.GetActive(), After: order.GetAfter(), Revision: state.revision, At: at,
	})
	return nil
}
