package entry

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// engines lists the engines that this entry VM may use, with what it knows
// first-hand of their load.
type engines struct {
	members *member.Table
	view    *feed.View

	// mu guards inFlight. It is a leaf lock.
	mu       sync.Mutex
	inFlight map[string]uint32
}

func newEngines(members *member.Table, view *feed.View) *engines {
	return &engines{members: members, view: view, inFlight: map[string]uint32{}}
}

// Candidates returns the engines of endpoints that take new work.
func (fleet *engines) Candidates() []place.Candidate {
	config := fleet.view.State()
	endpoints := fleet.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var list []place.Candidate
	for _, endpoint := range endpoints {
		if endpoint.GetState() != wire.NodeState_NODE_STATE_SERVING || config.Drained(endpoint.GetNode()) {
			continue
		}
		for _, engine := range endpoint.GetEngines() {
			list = append(list, place.Candidate{
				Endpoint: endpoint.GetNode(), Address: endpoint.GetAddress(), Incarnation: endpoint.GetIncarnation(),
				Zone: endpoint.GetZone(), Engine: engine, InFlight: fleet.inFlight[engine.GetName()],
			})
		}
	}
	return list
}

// Begin counts a request on an engine.
func (fleet *engines) Begin(candidate place.Candidate) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.inFlight[candidate.Engine.GetName()]++
}

// End counts a request off an engine.
func (fleet *engines) End(candidate place.Candidate, _ *wire.EngineLoad) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	name := candidate.Engine.GetName()
	fleet.inFlight[name]--
	if fleet.inFlight[name] == 0 {
		delete(fleet.inFlight, name)
	}
}
