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

// engines lists the engines that this entry VM may use, with the latest reported
// load of each. It also counts the requests that this entry VM started and ended
// since that report.
type engines struct {
	members *member.Table
	view    *feed.View
	clock   *clock.Clock

	// mu guards the fields below. Lock order: members and view before mu.
	mu sync.Mutex
	// tracks holds all known engines by name; list holds those that accept new work.
	tracks map[string]*place.Candidate
	list   []*place.Candidate
	// version and config are those of members and view when list was built.
	version uint64
	config  *state.State
}

func newEngines(members *member.Table, view *feed.View, ticker *clock.Clock) *engines {
	return &engines{members: members, view: view, clock: ticker, tracks: map[string]*place.Candidate{}}
}

// Candidates returns the engines of endpoints that accept new work.
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
	for index, track := range fleet.list {
		list[index] = *track
	}
	return list
}

// rebuild rebuilds the list after an endpoint was added, removed or changed.
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

// track returns the entry of an engine with updated addresses. Load and counters
// are kept across rebuilds until the endpoint process restarts.
func (fleet *engines) track(endpoint *wire.Announcement, engine *wire.EngineInfo) *place.Candidate {
	track, ok := fleet.tracks[engine.GetName()]
	if !ok || track.Incarnation != endpoint.GetIncarnation() {
		track = &place.Candidate{Load: engine.GetLoad(), LoadTime: fleet.clock.Now()}
	}
	track.Endpoint, track.Address, track.Incarnation = endpoint.GetNode(), endpoint.GetAddress(), endpoint.GetIncarnation()
	track.Zone, track.Engine = endpoint.GetZone(), engine
	return track
}

// report updates the engine loads from an announcement.
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

// Gone removes an endpoint process that refuses connections, before its
// announcement expires. A later announcement adds it again.
func (fleet *engines) Gone(candidate place.Candidate) {
	if announced, ok := fleet.members.Node(candidate.Endpoint); ok && announced.GetState() == wire.NodeState_NODE_STATE_LEAVING {
		// It gets no new work. Its record stays so that the crash tracker sees a
		// shutdown and not a crash.
		return
	}
	fleet.members.Remove(candidate.Endpoint, candidate.Incarnation)
}

// Begin counts a request that was sent to an engine.
func (fleet *engines) Begin(candidate place.Candidate) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if track, ok := fleet.tracks[candidate.Engine.GetName()]; ok && track.Incarnation == candidate.Incarnation {
		track.InFlight++
		track.Sent++
	}
}

// End counts a request that ended on an engine and stores the load from its
// answer, if it carried one.
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
