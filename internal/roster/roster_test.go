package roster_test

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Roster")
}

type message struct {
	ID       string       `json:"id"`
	Address  string       `json:"address"`
	Born     clock.Millis `json:"born"`
	Sequence uint64       `json:"sequence"`
	Draining bool         `json:"draining"`
	Gone     bool         `json:"gone"`
	// ReceivedAt is when a control VM received the message.
	ReceivedAt clock.Millis `json:"receivedAt"`
	Update     string       `json:"update"`
}

type script struct {
	Name     string    `json:"name"`
	Messages []message `json:"messages"`
	Usable   []string  `json:"usable"`
}

var updates = map[string]roster.Update{"stale": roster.Stale, "refreshed": roster.Refreshed, "changed": roster.Changed}

var _ = Describe("the table of endpoints", func() {
	text, err := os.ReadFile("testdata/messages.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			table := roster.New()
			for _, message := range script.Messages {
				Expect(table.Put(message.record())).To(Equal(updates[message.Update]), "message %+v", message)
			}
			usable := []string{}
			for _, record := range table.Usable("desk") {
				usable = append(usable, record.ID)
			}
			Expect(usable).To(ConsistOf(script.Usable))
		})
	}

	// Guards against a poll that misses or repeats records.
	It("returns exactly the records updated after a position", func() {
		table := roster.New()
		table.Put(roster.Record{ID: "e1", Service: "desk", Address: "10.0.0.1:80", Born: 1, Sequence: 1})
		position := table.Position()
		Expect(table.Since(position)).To(BeEmpty())
		table.Put(roster.Record{ID: "e2", Service: "desk", Address: "10.0.0.2:80", Born: 1, Sequence: 1})
		Expect(table.Since(position)).To(HaveLen(1))
		Expect(table.Since(0)).To(HaveLen(2))
	})

	// Guards against ages that change when a record is sent between processes whose clocks
	// differ.
	It("keeps a record's age between two clocks", func() {
		sent := roster.Record{
			ID: "e1", Service: "desk", Address: "10.0.0.1:80", Zone: "z1", Born: 5, Sequence: 2, Slots: 12, ReceivedAt: 900, ColdUntil: 1500, EndedAt: 4,
			Group: roster.Group{Name: "g", Epoch: 3, Rank: 1, Size: 12},
		}
		got := roster.FromMessage(sent.Message(1000), 51_000)
		Expect(got.ReceivedAt).To(Equal(clock.Millis(50_900)))
		Expect(got.ColdUntil).To(Equal(clock.Millis(51_500)))
		got.ReceivedAt, got.ColdUntil = sent.ReceivedAt, sent.ColdUntil
		Expect(got).To(Equal(sent))
	})

	// Guards against gateways that learn with a delay that an endpoint turned cold.
	It("reports an endpoint that turns cold as changed, once", func() {
		table := roster.New()
		put := func(sequence uint64, received, coldUntil clock.Millis) roster.Update {
			return table.Put(roster.Record{
				ID: "e1", Service: "desk", Address: "10.0.0.1:80", Born: 1, Sequence: sequence, ReceivedAt: received, ColdUntil: coldUntil,
			})
		}
		Expect(put(1, 1000, 1000)).To(Equal(roster.Changed))
		Expect(put(2, 2000, 2000)).To(Equal(roster.Refreshed))
		Expect(put(3, 3000, 6000)).To(Equal(roster.Changed))
		Expect(put(4, 4000, 7000)).To(Equal(roster.Refreshed))
		Expect(put(5, 5000, 5000)).To(Equal(roster.Refreshed))
		Expect(put(6, 6000, 9000)).To(Equal(roster.Changed))
		record, _ := table.Get("e1")
		Expect(record.FirstAt).To(Equal(clock.Second))
	})

	// Guards against a start that does not state how long it is cold and is taken for warm.
	It("keeps that an endpoint did not state how long it is cold", func() {
		sent := roster.Record{ID: "e1", ReceivedAt: 900, ColdUnstated: true}
		Expect(roster.FromMessage(sent.Message(1000), 51_000).ColdUnstated).To(BeTrue())
		sent.ColdUnstated = false
		Expect(roster.FromMessage(sent.Message(1000), 51_000).ColdUnstated).To(BeFalse())
	})

	It("removes endpoints long after their last message", func() {
		table := roster.New()
		table.Put(roster.Record{ID: "e1", Service: "desk", Address: "10.0.0.1:80", Born: 1, Sequence: 1, ReceivedAt: 0})
		table.Expire(clock.Minute)
		Expect(table.Usable("desk")).To(HaveLen(1))
		table.Expire(10 * clock.Minute)
		Expect(table.Usable("desk")).To(BeEmpty())
	})
})
