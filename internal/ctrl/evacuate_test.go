package ctrl_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const zone = "z1"

func trio() *seeded { return newSeeded(seedScript{VMs: 3, Tolerance: 1}) }

// order sends an order about the zone until it is accepted.
func (group *seeded) order(number int, active bool) {
	Eventually(func() error { return group.running[number].Evacuate(context.Background(), zone, active) }).WithTimeout(seedLimit).Should(Succeed())
}

// leader waits for a leader and returns its number.
func (group *seeded) leader() int {
	found := -1
	Eventually(func() bool {
		for number, control := range group.running {
			if control.IsLeader() {
				found = number
				return true
			}
		}
		return false
	}).WithTimeout(seedLimit).Should(BeTrue())
	return found
}

// index returns the last entry of a VM's log.
func (group *seeded) index(number int) string {
	table, err := group.running[number].Local(context.Background(), &wire.NodeQuery{What: "controlSelf"})
	Expect(err).NotTo(HaveOccurred())
	return table.GetRows()[0].GetCells()[5]
}

// Guards against an order that is refused when it is sent again after the leader was
// lost between the append and the acknowledgement, and against VMs that differ then.
var _ = It("takes an order again when the leader is lost before it acknowledges", func() {
	group := trio()
	group.order(0, true)
	group.order(1, false)
	leader := group.leader()
	for number, disk := range group.disks {
		if number != leader {
			disk.SetRoom(0)
		}
	}
	// The leader appends the order, but no other VM can sync it.
	ctx, cancel := context.WithCancel(context.Background())
	var calling conc.WaitGroup
	appended := group.index(leader)
	calling.Go(func() {
		defer GinkgoRecover()
		Expect(group.running[leader].Evacuate(ctx, zone, true)).NotTo(Succeed())
	})
	Eventually(func() string { return group.index(leader) }).WithTimeout(seedLimit).ShouldNot(Equal(appended))
	cancel()
	calling.Wait()
	group.powerOff([]int{leader})
	for _, disk := range group.disks {
		disk.SetRoom(-1)
	}
	group.order((leader+1)%3, true)
	group.order((leader+2)%3, true)
	group.start(leader, false)
	for number := range 3 {
		Eventually(func() string { return group.evacuated(number, zone) }).WithTimeout(seedLimit).Should(Equal("yes"), "VM %d", number)
	}
})

// Guards against an order that was held up on its way and undoes a later one.
var _ = It("refuses a delayed order, and proposes none for a caller that has disconnected", func() {
	group := trio()
	group.order(0, true)
	group.order(1, false)
	for number := range 3 {
		reply, err := group.running[number].Execute(context.Background(), &wire.Command{
			Id: "delayed", Change: &wire.Change{Body: &wire.Change_Evacuation{Evacuation: &wire.Evacuation{Zone: zone, Active: true}}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetCode()).To(Equal(state.CodeConflict))
	}
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	Expect(group.running[0].Evacuate(gone, zone, true)).NotTo(Succeed())
	group.order(2, false)
	for number := range 3 {
		Eventually(func() string { return group.evacuated(number, zone) }).WithTimeout(seedLimit).Should(Equal("no"), "VM %d", number)
	}
})

// Guards against orders about zones that do not exist, and against an evacuated zone
// that cannot be restored because it was removed from the settings.
var _ = It("knows the zones of the settings and those that have a record", func() {
	group := newSeeded(seedScript{VMs: 1})
	group.order(0, true)
	group.stop(0)
	group.zones = []string{"z2"}
	group.start(0, false)
	Eventually(func() string { return group.evacuated(0, zone) }).WithTimeout(seedLimit).Should(Equal("yes"))
	Expect(group.evacuated(0, "z2")).To(Equal("no"))
	err := group.running[0].Evacuate(context.Background(), "z3", true)
	refused, ok := state.AsRefused(err)
	Expect(ok).To(BeTrue())
	Expect(refused.Code).To(Equal(state.CodeNotFound))
	Eventually(func() string {
		reply, err := group.running[0].Execute(context.Background(), &wire.Command{Id: "text", Text: "evacuate zone z3"})
		Expect(err).NotTo(HaveOccurred())
		return reply.GetCode()
	}).WithTimeout(seedLimit).Should(Equal(state.CodeNotFound))
	Expect(group.evacuated(0, "z3")).To(BeEmpty())
	reply, err := group.running[0].Execute(context.Background(), &wire.Command{Id: "restore", Text: "restore zone z1"})
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.GetCode()).To(BeEmpty(), reply.GetError())
	Expect(group.evacuated(0, zone)).To(Equal("no"))
})

// Guards against an operator who is not told which gateways do not know of an order.
var _ = It("shows the gateways that do not hold an order", func() {
	group := newSeeded(seedScript{VMs: 1})
	group.order(0, true)
	control := group.running[0]
	poll := func(gateway string, revision uint64) {
		_, err := control.Poll(context.Background(), &wire.PollRequest{Node: gateway, Gateways: 1, Revision: revision})
		Expect(err).NotTo(HaveOccurred())
	}
	revision := control.View().State().Revision()
	poll("gateway1", revision)
	poll("gateway2", revision-1)
	poll("gateway3", 0)
	row := func() []string {
		table, err := control.Local(context.Background(), &wire.NodeQuery{What: "zones"})
		Expect(err).NotTo(HaveOccurred())
		return table.GetRows()[0].GetCells()
	}
	Expect(row()[3:]).To(Equal([]string{"1", "1", "gateway2,gateway3"}))
	poll("gateway2", revision)
	poll("gateway3", revision)
	Expect(row()[3:]).To(Equal([]string{"1", "3", ""}))
})
