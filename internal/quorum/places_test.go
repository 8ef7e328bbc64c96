package quorum_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// placeTarget is the number of voters of an open group in these scripts.
	placeTarget = 3
	// placeCatchUp is the default of the setting from which a control VM derives how long a
	// voter may be silent.
	placeCatchUp = 4 * clock.Second
	// placeCatchUpEntries and placeImageEvery let a VM that was away need an image.
	placeCatchUpEntries = 5
	placeImageEvery     = 5
)

// placeStep changes the VMs of an open group, or waits for its voters.
type placeStep struct {
	Do string `json:"do"`
	// On lists VMs by name. The first letter of a name is its availability zone.
	On []string `json:"on"`
	// For is a time in milliseconds: how long the step lasts, or the limit of a wait. The step
	// pass lasts a time drawn by lot between From and For.
	For  clock.Millis `json:"for"`
	From clock.Millis `json:"from"`
}

type placeScript struct {
	Name  string      `json:"name"`
	Seeds uint64      `json:"seeds"`
	Disk  [2]int64    `json:"disk"`
	Link  [2]int64    `json:"link"`
	Steps []placeStep `json:"steps"`
}

// places is an open group in virtual time.
type places struct {
	*group
	// cut is the availability zone that no message enters or leaves.
	cut string
	// stopped is the leader that a step stopped.
	stopped string
	// founders have formed the group.
	founders []*wire.ControlMember
	// withoutZones is set while VMs that start do not know their availability zone.
	withoutZones bool
}

func newPlaces(script placeScript, seed uint64) *places {
	made := &places{group: &group{
		script: lossScript{Disk: script.Disk, Link: script.Link}, random: rand.New(rand.NewPCG(seed, 13)), now: clock.Minute,
		imageEvery: placeImageEvery, emitted: map[*wire.PeerMessage]clock.Millis{},
	}}
	made.isCut = func(from, to *voter) bool {
		return from.zone != to.zone && (from.zone == made.cut || to.zone == made.cut)
	}
	return made
}

// start starts VMs, with the disk that they had or with an empty one. Only founders may form
// the group; the others know the founders' names.
func (places *places) start(names []string, founding bool) {
	if founding {
		for _, name := range names {
			places.founders = append(places.founders, &wire.ControlMember{Name: name, Address: name})
		}
	}
	for _, name := range names {
		started := &voter{node: node{name: name, disk: places.random.Uint64() | 1}, zone: name[:1]}
		zone := started.zone
		if places.withoutZones {
			zone = ""
		}
		at := slices.IndexFunc(places.voters, func(each *voter) bool { return each.name == name })
		if at < 0 {
			places.voters = append(places.voters, started)
		} else {
			started.disk, started.stored, started.isFull = places.voters[at].disk, places.voters[at].stored, places.voters[at].isFull
			started.applied, started.imageIndex = started.stored.Image.GetIndex(), started.stored.Image.GetIndex()
			places.voters[at] = started
		}
		stored := started.stored
		stored.Entries = slices.Clone(stored.Entries)
		started.core = quorum.New(quorum.Settings{
			Self: quorum.Peer{Name: name, DiskID: started.disk}, Address: name, Zone: zone, InitialMembers: places.founders,
			JoinOnly: !founding, Voters: placeTarget, ReplaceAfter: placeCatchUp * 5 / 8, RelocateAfter: 30 * clock.Second,
			ElectionTimeout: lossTimeout, Seed: started.disk, CatchUpEntries: placeCatchUpEntries, ImageChunkBytes: 1 << 10,
		}, stored, places.now)
		places.tick(started)
	}
}

func (places *places) stop(names []string) {
	for _, each := range places.voters {
		each.isGone = each.isGone || slices.Contains(names, each.name)
	}
}

// agreed returns the names of the committed voters as the leader knows them, or nothing
// without a leader that a majority has confirmed or beside a learner.
func (places *places) agreed() []string {
	leader := places.leader()
	if leader == nil {
		return nil
	}
	status := leader.core.Status()
	if _, ok := leader.core.Lease(places.now); !ok || status.Commit < status.Last {
		return nil
	}
	var names []string
	for _, member := range status.Members {
		if !member.GetVoter() {
			return nil
		}
		names = append(names, member.GetName())
	}
	slices.Sort(names)
	return names
}

// votersOf lists the names of the voters among members, in order.
func votersOf(members []*wire.ControlMember) []string {
	var names []string
	for _, member := range members {
		if member.GetVoter() {
			names = append(names, member.GetName())
		}
	}
	slices.Sort(names)
	return names
}

func (places *places) do(step placeStep) error {
	switch step.Do {
	case "found":
		places.start(step.On, true)
	case "start":
		places.start(step.On, false)
	case "stop":
		places.stop(step.On)
	case "noZones", "allZones":
		places.withoutZones = step.Do == "noZones"
	case "stopLeader":
		if leader := places.leader(); leader != nil {
			places.stopped = leader.name
			places.stop([]string{leader.name})
		}
	case "startLeader":
		places.start([]string{places.stopped}, false)
	case "stall", "goOn":
		for _, each := range places.voters {
			if slices.Contains(step.On, each.name) {
				each.isStalled = step.Do == "stall"
			}
		}
	case "cut":
		places.cut = step.On[0]
	case "heal":
		places.cut = ""
	case "pass":
		places.pass(places.between([2]int64{int64(step.From), int64(step.For)}))
	case "vacant":
		isVacant := func() bool {
			leader := places.leader()
			return leader != nil && slices.Equal(votersOf(leader.core.Status().Members), step.On)
		}
		if !places.runUntil(step.For, isVacant) {
			return fmt.Errorf("no place is vacant after %s", step.For)
		}
	case "run":
		places.runUntil(step.For, func() bool { return false })
	case "voters":
		if !places.runUntil(step.For, func() bool { return slices.Equal(places.agreed(), step.On) }) {
			return fmt.Errorf("voters are %v after %s, not %v", places.agreed(), step.For, step.On)
		}
	case "zones":
		zones := func() []string {
			var list []string
			for _, name := range places.agreed() {
				list = append(list, name[:1])
			}
			return list
		}
		if !places.runUntil(step.For, func() bool { return slices.Equal(zones(), step.On) }) {
			return fmt.Errorf("voters are %v after %s", places.agreed(), step.For)
		}
	case "keep":
		var other []string
		if places.runUntil(step.For, func() bool { other = places.agreed(); return other != nil && !slices.Equal(other, step.On) }) {
			return fmt.Errorf("voters are %v, not %v", other, step.On)
		}
	default:
		return places.doDisk(step)
	}
	return nil
}

// Guards against a group that loses its majority for good because the place of a voter that
// was replaced is filled too late, by the wrong VM or not at all.
var _ = Describe("the places of voters in an open group", func() {
	text, err := os.ReadFile("testdata/places.json")
	if err != nil {
		panic(err)
	}
	var scripts []placeScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			for seed := range script.Seeds {
				group := newPlaces(script, seed)
				for at, step := range script.Steps {
					Expect(group.do(step)).To(Succeed(), "seed %d, step %d: %+v", seed, at, step)
				}
			}
		})
	}
})
