package entry

import (
	"sync"

	"github.com/hibiscuslug/hibiscuslug/internal/feed"
	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/internal/place"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// engines lists the engines that this entry VM may use, with the newest load
// known of each. What the entry VM sent and got back itself since a report
// counts at once.
type engines struct {
	members *member.Table
	view    *feed.View
	clock   *clock.Clock

	// mu guards the fields below. The locks of members and view are taken before it.
	mu      sync.Mutex
	tracks  map[string]*place.Candidate
	list    []*place.Candidate
	version uint64
	config  *state.State
}

func newEngines(members *member.Table, view *feed.View, ticker *clock.Clock) *engines {
	return &engines{members: members, view: view, clock: ticker, tracks: map[string]*place.Candidate{}}
}

// Candidates returns the engines of endpoints that take new work.
func (fleet *engines) Candidates() []place.Candidate {
	version, config := fleet.members.Version(), fleet.view.State()
	fleet.mu.Lock()
	stale := version != fleet.version || config != fleet.config || fleet.config == nil
	fleet.mu.Unlock()
	if stale {
		fleet.rebuild(version, config)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	list := make([]place.Candidate, len(fleet.list))
	for at, track := range fleet.list {
		list[at] = *track
	}
	return list
}

// rebuild makes the list anew after an endpoint came, went or changed.
func (fleet *engines) rebuild(version uint64, config *state.State) {
	endpoints := fleet.members.Role(wire.NodeRole_NODE_ROLE_ENDPOINT)
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	tracks := make(map[string]*place.Candidate, len(fleet.tracks))
	fleet.list = fleet.list[:0]
	for _, endpoint := range endpoints {
		open := endpoint.GetState() == wire.NodeState_NODE_STATE_SERVING && !config.Drained(endpoint.GetNode())
		for _, engine := range endpoint.GetEngines() {
			track := fleet.track(endpoint, engine)
			tracks[engine.GetName()] = track
			if open {
				fleet.list = append(fleet.list, track)
			}
		}
	}
	fleet.tracks, fleet.version, fleet.config = tracks, version, config
}

// track returns the record of an engine, kept over changes of the list for as
// long as the endpoint process is the same.
func (fleet *engines) track(endpoint *wire.Announcement, engine *wire.EngineInfo) *place.Candidate {
	track, ok := fleet.tracks[engine.GetName()]
	if !ok || track.Incarnation != endpoint.GetIncarnation() {
		track = &place.Candidate{Load: engine.GetLoad(), LoadTime: fleet.clock.Now()}
	}
	track.Endpoint, track.Address, track.Incarnation = endpoint.GetNode(), endpoint.GetAddress(), endpoint.GetIncarnation()
	track.Zone, track.Engine = endpoint.GetZone(), engine
	return track
}

// report takes the loads of an announcement.
func (fleet *engines) report(announcement *wire.Announcement) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, engine := range announcement.GetEngines() {
		if track, ok := fleet.tracks[engine.GetLoad().GetEngine()]; ok && track.Incarnation == announcement.GetIncarnation() {
			fleet.learn(track, engine.GetLoad())
		}
	}
}

func (fleet *engines) learn(track *place.Candidate, load *wire.EngineLoad) {
	track.Load, track.LoadTime, track.Sent, track.Returned = load, fleet.clock.Now(), 0, 0
}

// Gone takes an endpoint process out before its announcement expires, when its
// connections are refused. A later announcement brings it back.
func (fleet *engines) Gone(candidate place.Candidate) {
	if known, ok := fleet.members.Node(candidate.Endpoint); ok && known.GetState() == wire.NodeState_NODE_STATE_LEAVING {
		// It gets no new work, and the tracker must know that it did not crash.
		return
	}
	fleet.members.Remove(candidate.Endpoint, candidate.Incarnation)
}

// Begin counts a request on an engine.
func (fleet *engines) Begin(candidate place.Candidate) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if track, ok := fleet.tracks[candidate.Engine.GetName()]; ok && track.Incarnation == candidate.Incarnation {
		track.InFlight++
		track.Sent++
	}
}

// End counts a request off an engine and takes the load that its answer carried.
func (fleet *engines) End(candidate place.Candidate, load *wire.EngineLoad) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	track, ok := fleet.tracks[candidate.Engine.GetName()]
	if !ok || track.Incarnation != candidate.Incarnation {
		return
	}
	track.InFlight--
	track.Returned++
	if load != nil {
		fleet.learn(track, load)
	}
}
