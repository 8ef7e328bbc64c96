package member_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/member"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Member")
}

type step struct {
	At          clock.Millis `json:"at"`
	Node        string       `json:"node"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    uint64       `json:"sequence"`
	Brief       bool         `json:"brief"`
	Lifetime    int64        `json:"lifetime"`
	Running     uint32       `json:"running"`
	// Want is the expected result of Observe; empty for an expiry step.
	Want string `json:"want"`
	// Gone lists the nodes expected to expire.
	Gone []string `json:"gone"`
	// WantRunning is the expected number of requests running on the node's engine
	// after the step.
	WantRunning *uint32 `json:"wantRunning"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

var names = map[member.Observed]string{
	member.Dropped: "dropped", member.Refreshed: "refreshed", member.Joined: "joined", member.Incomplete: "incomplete",
}

func announcement(step step) *wire.Announcement {
	full := &wire.Announcement{
		Node: step.Node, Role: wire.NodeRole_NODE_ROLE_ENDPOINT, Incarnation: step.Incarnation, Sequence: step.Sequence,
		Lifetime: step.Lifetime, Address: "127.0.0.1:1",
		Engines: []*wire.EngineInfo{{Name: "engine1", Load: &wire.EngineLoad{Engine: "engine1", Running: step.Running}}},
	}
	if step.Brief {
		return member.Brief(full)
	}
	return full
}

var _ = Describe("the table of announcements", func() {
	text, err := os.ReadFile("testdata/table.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			table := member.NewTable()
			for at, step := range script.Steps {
				where := fmt.Sprintf("step %d", at)
				if step.Want != "" {
					Expect(names[table.Observe(announcement(step), step.At)]).To(Equal(step.Want), where)
				} else {
					var gone []string
					for _, node := range table.Expire(step.At) {
						gone = append(gone, node.GetNode())
					}
					Expect(gone).To(ConsistOf(step.Gone), where)
				}
				if step.WantRunning != nil {
					node, _ := table.Node(step.Node)
					Expect(node.GetEngines()[0].GetLoad().GetRunning()).To(Equal(*step.WantRunning), where)
				}
			}
		})
	}

	// Guards against peers that keep renewing each other's records of a dead node.
	It("drops a dead node from all tables within its lifetime while peers keep exchanging records", func() {
		random := rand.New(rand.NewPCG(1, 1))
		tables := []*member.Table{member.NewTable(), member.NewTable(), member.NewTable()}
		tables[0].Observe(announcement(step{Node: "dead", Incarnation: 1, Sequence: 1, Lifetime: 5000}), 0)
		for now := clock.Millis(0); now <= 5000; now += 100 {
			for _, table := range tables {
				table.Expire(now)
			}
			from, to := random.IntN(3), random.IntN(3)
			for _, record := range tables[from].Records(wire.NodeRole_NODE_ROLE_ENDPOINT, now) {
				tables[to].Observe(record, now)
			}
		}
		for _, table := range tables {
			Expect(table.Count(wire.NodeRole_NODE_ROLE_ENDPOINT)).To(BeZero())
		}
	})

	// Guards against announcements and exchanges that exceed the 3 KB/s that a
	// node may spend on control traffic, up to the largest size in the design.
	// Bytes are those of the messages and drpc frames, without TCP headers.
	It("keeps announcements and exchanges within 3 KB/s at any number of nodes", func() {
		const budget, frames = 3000.0, 40.0
		brief := member.Brief(&wire.Announcement{
			Node: "endpoint-region9-zone33-364", Incarnation: 1 << 60, Sequence: 1 << 20, Lifetime: 100_000, Revision: 1 << 24,
			RevisionAge: 10_000, PeersVersion: 1 << 63, State: wire.NodeState_NODE_STATE_SERVING,
			Engines: []*wire.EngineInfo{{Load: &wire.EngineLoad{
				Engine: "engine-region9-zone33-364", Running: 8, Waiting: 20, WaitingPaid: 3, Slots: 8, Backlog: 100_000, Rate: 2000,
			}}},
		})
		reply := &wire.AnnounceReply{Revision: 1 << 24, Interval: 10_000}
		announcement := float64(brief.SizeVT()+reply.SizeVT()) + frames
		record := float64(brief.SizeVT() - brief.GetEngines()[0].SizeVT())
		for _, count := range []int{1, 15, 100, 190, 364, 12_000} {
			announced := float64(count) * announcement / (float64(member.AnnounceInterval(count)) / 1000)
			exchanged := float64(count) * 2 * record / (float64(member.ExchangeInterval(count)) / 1000)
			Expect(announced+exchanged).To(BeNumerically("<=", budget), "%d nodes: %g + %g bytes/s", count, announced, exchanged)
		}
	})
})
