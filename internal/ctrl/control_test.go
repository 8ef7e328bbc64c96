package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Control")
}

const (
	limit = 30 * time.Second
	// roomForChanges is room in bytes for changesBeyondSnapshot changes, after some of which a
	// snapshot of 4096 bytes or more is due, but not for both.
	roomForChanges        = 8000
	changesBeyondSnapshot = 100
)

// command is an operator's command with the expected reply.
type command struct {
	ID       string `json:"id"`
	Text     string `json:"text"`
	Code     string `json:"code"`
	Revision uint64 `json:"revision"`
	Contains string `json:"contains"`
}

func loadCommands() []command {
	text, err := os.ReadFile("testdata/commands.json")
	Expect(err).NotTo(HaveOccurred())
	var list []command
	Expect(json.Unmarshal(text, &list)).To(Succeed())
	return list
}

var _ = Describe("a control VM alone", func() {
	var disk *fake.Disk
	var folder string
	start := func() *ctrl.Control {
		control, err := ctrl.New(ctrl.Settings{
			Node: opts.Node{Name: "control1", Zone: "zone1", Listen: "127.0.0.1:0"},
			Control: opts.Control{
				Data: folder, ElectionTimeout: 200, CommitLimit: 500, SnapshotBytes: 4096,
			},
			Disk: disk,
		}, clock.NewSystem(), event.Discard())
		Expect(err).NotTo(HaveOccurred())
		return control
	}
	execute := func(control *ctrl.Control, id, text string) *wire.CommandReply {
		reply, err := control.Execute(context.Background(), &wire.Command{Id: id, Text: text})
		Expect(err).NotTo(HaveOccurred())
		return reply
	}

	BeforeEach(func() { disk, folder = fake.NewDisk(), GinkgoT().TempDir() })

	// Guards against a command that runs twice when its id is sent again, or whose
	// recorded reply is lost in a restart.
	It("gives each command id its first answer, before and after a restart", func() {
		for range 2 {
			control := start()
			for _, script := range loadCommands() {
				reply := execute(control, script.ID, script.Text)
				Expect(reply.GetCode()).To(Equal(script.Code), "%s: %s", script.Text, reply.GetError())
				Expect(reply.GetError()).To(ContainSubstring(script.Contains))
				Expect(reply.GetRevision()).To(Equal(script.Revision), script.Text)
			}
			Expect(control.Close()).To(Succeed())
		}
	})

	// Guards against changes that are refused although the disk has room for them, because a
	// snapshot does not fit.
	It("takes changes while the disk has room for them, but not for a snapshot", func() {
		control := start()
		Expect(execute(control, "first", "create customer first tier paid").GetCode()).To(BeEmpty())
		disk.SetRoom(roomForChanges)
		accepted := 0
		for number := range changesBeyondSnapshot {
			id := fmt.Sprintf("c%d", number)
			reply := execute(control, id, "create customer "+id+" tier paid")
			Expect(reply.GetCode()).To(BeEmpty(), "%s: %s", id, reply.GetError())
			accepted++
		}
		Expect(control.Close()).To(Succeed())
		disk.SetRoom(-1)
		control = start()
		Expect(execute(control, "last", "create customer last tier paid").GetRevision()).To(Equal(uint64(accepted + 2)))
		Expect(control.Close()).To(Succeed())
	})

	// Guards against changes that are accepted while the disk is full, and against
	// a control VM that stops serving queries or does not recover.
	It("refuses changes on a full disk, answers queries and recovers", func() {
		control := start()
		Expect(execute(control, "before", "create customer before tier paid").GetCode()).To(BeEmpty())
		disk.SetRoom(3)
		Eventually(func() string {
			return execute(control, "during", "create customer during tier paid").GetCode()
		}).WithTimeout(limit).Should(Equal("unavailable"))
		shown := execute(control, "show", "show control")
		Expect(shown.GetTable().GetRows()).To(HaveLen(1))
		Expect(shown.GetRevision()).To(Equal(uint64(1)))
		disk.SetRoom(-1)
		Eventually(func() string {
			return execute(control, "after", "create customer after tier paid").GetCode()
		}).WithTimeout(limit).Should(BeEmpty())
		Expect(execute(control, "during", "create customer during tier paid").GetCode()).To(BeEmpty())
		Expect(control.Close()).To(Succeed())
		control = start()
		Expect(execute(control, "before", "create customer before tier paid").GetRevision()).To(Equal(uint64(1)))
		Expect(control.Close()).To(Succeed())
	})
})

// Guards against a control VM that ends because its disk is full when it starts, or that does
// not serve afterwards.
var _ = It("a control VM that starts on a full disk goes on once there is room", func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	Expect(listener.Close()).To(Succeed())
	disk := fake.NewDisk()
	disk.SetRoom(3)
	started := make(chan *ctrl.Control)
	folder := GinkgoT().TempDir()
	go func() {
		defer GinkgoRecover()
		defer close(started)
		control, err := ctrl.New(ctrl.Settings{
			Node:    opts.Node{Name: "control1", Zone: "zone1", Listen: address},
			Control: opts.Control{Data: folder, ElectionTimeout: 200, CommitLimit: 500, SnapshotBytes: 4096},
			Disk:    disk,
		}, clock.NewSystem(), event.Discard())
		Expect(err).NotTo(HaveOccurred())
		started <- control
	}()
	Consistently(started).ShouldNot(Receive())
	disk.SetRoom(-1)
	var control *ctrl.Control
	Eventually(started).WithTimeout(limit).Should(Receive(&control))
	DeferCleanup(control.Close)
	Eventually(func() string {
		reply, err := control.Execute(context.Background(), &wire.Command{Id: "c", Text: "create customer c tier paid"})
		Expect(err).NotTo(HaveOccurred())
		return reply.GetCode()
	}).WithTimeout(limit).Should(BeEmpty())
})

// Guards against a group that refuses changes because the disk of the leader
// alone is full.
var _ = It("a group moves leadership away from a full disk", func() {
	const count = 3
	var group []string
	var addresses []string
	for at := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, listener.Addr().String())
		group = append(group, fmt.Sprintf("control%d@%s", at+1, addresses[at]))
		Expect(listener.Close()).To(Succeed())
	}
	var disks []*fake.Disk
	var members []*ctrl.Control
	for at := range count {
		disks = append(disks, fake.NewDisk())
		member, err := ctrl.New(ctrl.Settings{
			Node:    opts.Node{Name: fmt.Sprintf("control%d", at+1), Zone: "zone1", Listen: addresses[at]},
			Control: opts.Control{Data: GinkgoT().TempDir(), Group: group, ElectionTimeout: 300, CommitLimit: 2000, SnapshotBytes: 4096},
			Disk:    disks[at],
		}, clock.NewSystem(), event.Discard())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(member.Close)
		members = append(members, member)
	}
	expectAccepted := func(member *ctrl.Control, id string) {
		Eventually(func() string {
			reply, err := member.Execute(context.Background(), &wire.Command{Id: id, Text: "create customer " + id + " tier paid"})
			Expect(err).NotTo(HaveOccurred())
			return reply.GetCode()
		}).WithTimeout(limit).Should(BeEmpty(), id)
	}
	row := func(member *ctrl.Control) []string {
		table, err := member.Local(context.Background(), &wire.NodeQuery{What: "controlSelf"})
		Expect(err).NotTo(HaveOccurred())
		return table.GetRows()[0].GetCells()
	}
	expectAccepted(members[0], "before")
	fullIndex := 0
	for at, member := range members {
		if row(member)[3] == "leader" {
			fullIndex = at
		}
	}
	disks[fullIndex].SetRoom(3)
	for n := range 10 {
		expectAccepted(members[(fullIndex+n)%count], fmt.Sprintf("during%d", n))
	}
	Expect(row(members[fullIndex])[3]).NotTo(Equal("leader"))
	disks[fullIndex].SetRoom(-1)
	expectAccepted(members[fullIndex], "after")
	for _, member := range members {
		Eventually(func() string { return row(member)[7] }).WithTimeout(limit).Should(Equal("12"))
	}
})
