package coord

import (
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/quota"
	"github.com/hibiscuslug/hibiscuslug/internal/rebal"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// paceEvery is the time after which gateways are told again of a slow rank. What they
// are told is valid for three times as long.
const paceEvery = clock.Second

// slowReport is what was reported of a slow rank: told to gateways at toldAt and
// logged at loggedAt.
type slowReport struct {
	endpoint         quota.Endpoint
	toldAt, loggedAt clock.Millis
}

func pacesOf(states []*wire.RankState) []float64 {
	paces := make([]float64, len(states))
	for rank, state := range states {
		paces[rank] = state.GetPace()
	}
	return paces
}

// slowPaces returns the paces of the ranks while any of them is slow, and until all
// have their share of experts again; otherwise nil.
func (group *group) slowPaces() []float64 {
	group.wasSlow = group.wasSlow || len(group.paces.Slow()) > 0
	if !group.wasSlow || len(group.paces.Paces()) != group.current.Ranks() {
		return nil
	}
	return group.paces.Paces()
}

// reportSlow logs the slow ranks and tells gateways of them.
func (coordinator *Coordinator) reportSlow(group *group, ranks []roster.Record, now clock.Millis) {
	paces := group.paces.Paces()
	for rank, last := range group.slow {
		if rank < len(paces) && paces[rank] > 1 && last.endpoint == endpointOf(ranks[rank]) {
			continue
		}
		delete(group.slow, rank)
		coordinator.setPace(last.endpoint, 1)
		coordinator.log.Write(event.RankNotSlow, "group", group.name, "rank", rank, "endpoint", last.endpoint.ID)
	}
	for _, rank := range group.paces.Slow() {
		last, isKnown := group.slow[rank]
		last.endpoint = endpointOf(ranks[rank])
		if !isKnown || now-last.toldAt >= paceEvery {
			last.toldAt = now
			coordinator.setPace(last.endpoint, paces[rank])
		}
		if !isKnown || now-last.loggedAt >= logEvery {
			last.loggedAt = now
			coordinator.log.Write(event.RankSlow, "group", group.name, "rank", rank, "endpoint", last.endpoint.ID, "pace", paces[rank],
				"lost", group.lost(rank))
		}
		if group.slow == nil {
			group.slow = map[int]slowReport{}
		}
		group.slow[rank] = last
	}
}

func (coordinator *Coordinator) setPace(endpoint quota.Endpoint, pace float64) {
	if coordinator.settings.SetPace != nil {
		coordinator.settings.SetPace(endpoint, pace)
	}
}

// lost returns the time that a pass loses to a slow rank, in whole milliseconds.
func (group *group) lost(rank int) clock.Millis {
	if group.loads == nil || !group.hasMap || group.current.Ranks() != len(group.paces.Paces()) {
		return 0
	}
	// Only this rank counts as slow, so that each of several slow ranks is given its
	// own part.
	paces := make([]float64, group.current.Ranks())
	for at := range paces {
		paces[at] = 1
	}
	pace := group.paces.Paces()[rank]
	paces[rank] = pace
	skew, without := rebal.PacedSkew(group.current, group.loads, paces), rebal.MeanSkew(group.current, group.loads)
	return clock.Millis(group.stage.Lost(pace, skew, without))
}

func endpointOf(record roster.Record) quota.Endpoint {
	return quota.Endpoint{ID: record.ID, Incarnation: uint64(record.Born)}
}
