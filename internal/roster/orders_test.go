package roster_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// orderScript is a set of messages that may arrive in any order.
type orderScript struct {
	Name     string             `json:"name"`
	Messages map[string]message `json:"messages"`
	// Before holds two messages; only orders in which the first comes before the second
	// are played.
	Before []string `json:"before"`
	// Born is the start that is usable in the end; 0 for none.
	Born clock.Millis `json:"born"`
}

// isPlayed reports whether an order of the messages is to be played.
func (script orderScript) isPlayed(order []string) bool {
	return len(script.Before) == 0 || slices.Index(order, script.Before[0]) < slices.Index(order, script.Before[1])
}

func (sent message) record() roster.Record {
	record := roster.Record{
		ID: sent.ID, Address: sent.Address, Born: sent.Born, Sequence: sent.Sequence, Draining: sent.Draining, Gone: sent.Gone, ReceivedAt: sent.ReceivedAt,
	}
	if !sent.Gone {
		record.Service = "desk"
	}
	return record
}

// permutations lists all orders of the names.
func permutations(names []string) [][]string {
	if len(names) == 0 {
		return [][]string{nil}
	}
	var list [][]string
	for at, name := range names {
		rest := slices.Delete(slices.Clone(names), at, at+1)
		for _, order := range permutations(rest) {
			list = append(list, append([]string{name}, order...))
		}
	}
	return list
}

// pair is the tables of two processes that exchange their records.
type pair [2]*roster.Table

func (tables pair) exchange() {
	const now = 10_000
	for from := range tables {
		to := 1 - from
		for _, record := range tables[from].Since(0) {
			tables[to].Put(roster.FromMessage(record.Message(now), now))
		}
	}
}

// play delivers messages in order, each to one of the two processes, which exchange their
// records after each. One process starts anew after one of the messages.
func (script orderScript) play(order []string, receivers, restarted, after int) pair {
	tables := pair{roster.New(), roster.New()}
	for at, name := range order {
		tables[receivers>>at&1].Put(script.Messages[name].record())
		tables.exchange()
		if at == after {
			tables[restarted] = roster.New()
		}
	}
	tables.exchange()
	return tables
}

// Guards against a message that undoes a later one of the endpoint because it arrives
// after it, at a process that never heard of the endpoint or has just started.
var _ = Describe("messages of an endpoint in any order", func() {
	text, err := os.ReadFile("testdata/orders.json")
	if err != nil {
		panic(err)
	}
	var scripts []orderScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			names := slices.Sorted(maps.Keys(script.Messages))
			for _, order := range permutations(names) {
				if !script.isPlayed(order) {
					continue
				}
				for receivers := range 1 << len(order) {
					for restart := range 2 * len(order) {
						tables := script.play(order, receivers, restart%2, restart/2)
						for process, table := range tables {
							usable := clock.Millis(0)
							for _, record := range table.Usable("desk") {
								usable = record.Born
							}
							Expect(usable).To(Equal(script.Born), fmt.Sprintf("order %v, receivers %b, process %d starts anew after message %d, table %d",
								order, receivers, restart%2, restart/2+1, process))
						}
					}
				}
			}
		})
	}
})
