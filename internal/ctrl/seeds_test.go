package ctrl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/bounds"
	"github.com/hibiscuslug/hibiscuslug/internal/ctrl"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/internal/ports"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	seedLimit = 60 * time.Second
	// outsideTime is several election timeouts, in which a group is made.
	outsideTime = 2 * time.Second
)

type seedStep struct {
	Do string `json:"do"`
	// On lists the VMs of the step by number.
	On      []int  `json:"on"`
	Version uint64 `json:"version"`
	// Zone is the zone of an order.
	Zone string `json:"zone"`
}

type seedScript struct {
	Name string `json:"name"`
	VMs  int    `json:"vms"`
	// Absent is the number of VMs that do not start at first, the last ones.
	Absent    int        `json:"absent"`
	Tolerance int        `json:"tolerance"`
	Steps     []seedStep `json:"steps"`
}

// seeded is a group formed from seeds, in this process. Each VM has its own
// loopback address; all listen on the same port.
type seeded struct {
	script seedScript
	port   int
	// seeds are those in the settings of VMs that start, current those that running VMs
	// read again. The step exchange sets both.
	seeds   []string
	current atomic.Pointer[[]string]
	// zones is the setting of the known zones of VMs that start.
	zones   []string
	running map[int]*ctrl.Control
	// root holds the data folders.
	root    string
	folders map[int]string
	disks   map[int]*fake.Disk
}

// newSeeded starts the VMs of a script.
func newSeeded(script seedScript) *seeded {
	listener, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	Expect(listener.Close()).To(Succeed())
	// Created before the clean-up below, so that it is removed after the processes ended.
	root := GinkgoT().TempDir()
	group := &seeded{script: script, running: map[int]*ctrl.Control{}, root: root, folders: map[int]string{}, disks: map[int]*fake.Disk{}}
	_, err = fmt.Sscanf(listener.Addr().String(), "127.0.0.1:%d", &group.port)
	Expect(err).NotTo(HaveOccurred())
	for number := range min(script.VMs, 3) {
		// The port of a seed belongs to another service of the VM; it is replaced.
		group.seeds = append(group.seeds, fmt.Sprintf("127.0.0.%d:1", 10+number))
	}
	group.current.Store(&group.seeds)
	DeferCleanup(func() {
		for number := range group.running {
			group.stop(number)
		}
	})
	for number := range script.VMs - script.Absent {
		group.start(number, true)
	}
	return group
}

func (group *seeded) start(number int, bootstrap bool) {
	if group.folders[number] == "" {
		folder, err := os.MkdirTemp(group.root, "")
		Expect(err).NotTo(HaveOccurred())
		group.folders[number] = folder
	}
	group.disks[number] = fake.NewDisk()
	control, err := ctrl.New(ctrl.Settings{
		Disk: group.disks[number], Seeds: func() []string { return *group.current.Load() },
		Node: opts.Node{Name: fmt.Sprintf("control%d", number), Zone: "z", Listen: group.address(number), ShutdownLimit: clock.Second},
		Control: opts.Control{
			Data: group.folders[number], Seed: group.seeds, Bootstrap: bootstrap, Tolerance: bounds.Count(group.script.Tolerance),
			ElectionTimeout: 300, CommitLimit: 2 * clock.Second, SnapshotBytes: 4096,
			KnownZone: group.zones, EvacuateLimit: 5 * clock.Second,
		},
	}, clock.NewSystem(), event.Discard())
	Expect(err).NotTo(HaveOccurred())
	group.running[number] = control
}

// powerOff takes the power from all of the VMs before any of them can end by itself.
func (group *seeded) powerOff(numbers []int) {
	for _, number := range numbers {
		Expect(group.disks[number].PowerOff()).To(Succeed())
	}
	for _, number := range numbers {
		// The process cannot write any more, so its Close may fail.
		_ = group.running[number].Close()
		delete(group.running, number)
	}
}

func (group *seeded) address(number int) string {
	return fmt.Sprintf("127.0.0.%d:%d", 10+number, group.port)
}

func (group *seeded) stop(number int) {
	Expect(group.running[number].Close()).To(Succeed())
	delete(group.running, number)
}

// do runs a step. Steps that check a condition wait until it holds.
func (group *seeded) do(step seedStep) {
	switch step.Do {
	case "stop":
		for _, number := range step.On {
			group.stop(number)
		}
	case "power":
		group.powerOff(step.On)
	case "wipe":
		for _, number := range step.On {
			group.folders[number] = ""
		}
	case "start":
		for _, number := range step.On {
			group.start(number, false)
		}
	case "deploy":
		for _, number := range step.On {
			Eventually(func() error {
				return group.running[number].Deploy(context.Background(), step.Version, fmt.Appendf(nil, "document %d", step.Version))
			}).WithTimeout(seedLimit).Should(Succeed(), "deploy through VM %d", number)
		}
	case "unsure":
		for _, number := range step.On {
			_, err := group.running[number].Deployed(context.Background())
			Expect(err).To(HaveOccurred(), "VM %d", number)
		}
	case "read":
		for _, number := range step.On {
			Eventually(func() (string, error) {
				document, err := group.running[number].Deployed(context.Background())
				return string(document), err
			}).WithTimeout(seedLimit).Should(Equal(fmt.Sprintf("document %d", step.Version)), "VM %d", number)
		}
	case "report":
		for _, number := range step.On {
			group.poll(number, fmt.Sprintf("gateway%d", number), uint32(step.Version))
		}
	case "loads":
		for _, number := range step.On {
			Eventually(func() []uint32 { return group.poll(number, "gateway0", 2) }).WithTimeout(seedLimit).
				Should(Equal([]uint32{uint32(step.Version), uint32(group.script.VMs)}), "VM %d", number)
		}
	case "heartbeat":
		for _, number := range step.On {
			control := group.running[number]
			Expect(control.Heard(context.Background(), roster.Record{
				ID: fmt.Sprintf("e%d", step.Version), Service: "s", Address: "10.0.0.1:80", Born: 1, Sequence: step.Version, ReceivedAt: control.Now(),
			})).To(Succeed())
		}
	case "knows":
		for _, number := range step.On {
			Eventually(func() int { return len(group.running[number].Endpoints("s")) }).WithTimeout(seedLimit).Should(BeNumerically(">", 0), "VM %d", number)
		}
	case "join", "leave", "drain", "leaveAlone":
		group.doEndpoints(step)
	case "seeds", "exchange", "voters", "member", "outside":
		group.doMembers(step)
	default:
		group.doZone(step)
	}
}

// doMembers runs a step about the members of the group.
func (group *seeded) doMembers(step seedStep) {
	switch step.Do {
	case "seeds", "exchange":
		var seeds []string
		for _, number := range step.On {
			seeds = append(seeds, group.address(number))
		}
		group.current.Store(&seeds)
		if step.Do == "exchange" {
			group.seeds = seeds
		}
	case "outside":
		for _, number := range step.On {
			Consistently(func() []string { return group.voters(number) }).WithTimeout(outsideTime).Should(BeEmpty(), "VM %d belongs to no group", number)
		}
	case "voters":
		for _, number := range step.On {
			Eventually(func() []string { return group.voters(number) }).WithTimeout(seedLimit).Should(HaveLen(int(step.Version)), "as VM %d sees it", number)
		}
	case "member":
		for _, number := range step.On {
			Eventually(func() []string { return group.voters(number) }).WithTimeout(seedLimit).
				Should(ContainElement(group.address(int(step.Version))), "as VM %d sees it", number)
		}
	}
}

// endpointRecord returns a heartbeat of an endpoint of the service s.
func endpointRecord(number uint64, sequence uint64, now clock.Millis) roster.Record {
	return roster.Record{
		ID: fmt.Sprintf("i%d", number), Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", number), Born: 1, Sequence: sequence, ReceivedAt: now,
	}
}

// doEndpoints runs a step about endpoints, the number of which is the step's version. They
// send their messages to the first VM of the step.
func (group *seeded) doEndpoints(step seedStep) {
	ctx, control := context.Background(), group.running[step.On[0]]
	switch step.Do {
	case "join":
		for number := range step.Version {
			Expect(control.Heard(ctx, endpointRecord(number, 1, control.Now()))).To(Succeed())
		}
		for number, other := range group.running {
			Eventually(func() int { return len(other.Endpoints("s")) }).WithTimeout(seedLimit).Should(Equal(int(step.Version)), "VM %d", number)
		}
	case "leave", "drain":
		for number := range step.Version {
			record := endpointRecord(number, 2, control.Now())
			record.Draining = step.Do == "drain"
			if step.Do == "leave" {
				record = roster.Record{ID: record.ID, Gone: true, ReceivedAt: control.Now()}
			}
			Expect(control.Heard(ctx, record)).To(Succeed())
			Expect(group.holders(record.ID)).To(BeNumerically(">", group.script.Tolerance), "VMs that hold the end of endpoint %d at its acknowledgement", number)
		}
	case "leaveAlone":
		// The others were heard from a moment ago, so the first call may be refused.
		Eventually(func() error {
			return control.Heard(ctx, roster.Record{ID: fmt.Sprintf("i%d", step.Version), Gone: true, ReceivedAt: control.Now()})
		}).WithTimeout(seedLimit).Should(Succeed())
		Expect(control.Heard(ctx, endpointRecord(step.Version+1, 9, control.Now()))).To(Succeed())
	}
}

// holders counts the VMs that know that an endpoint drains or is gone.
func (group *seeded) holders(id string) int {
	count := 0
	for _, control := range group.running {
		isUsed := slices.ContainsFunc(control.Endpoints("s"), func(record roster.Record) bool { return record.ID == id && record.Usable() })
		if !isUsed {
			count++
		}
	}
	return count
}

// doZone runs a step about a zone.
func (group *seeded) doZone(step seedStep) {
	switch step.Do {
	case "evacuate", "restore":
		for _, number := range step.On {
			Eventually(func() error {
				return group.running[number].Evacuate(context.Background(), step.Zone, step.Do == "evacuate")
			}).WithTimeout(seedLimit).Should(Succeed(), "%s through VM %d", step.Do, number)
		}
	case "race":
		group.race(step)
	case "evacuated", "restored":
		for _, number := range step.On {
			Eventually(func() string { return group.evacuated(number, step.Zone) }).WithTimeout(seedLimit).
				Should(Equal(map[string]string{"evacuated": "yes", "restored": "no"}[step.Do]), "VM %d", number)
		}
	default:
		Fail("no step " + step.Do)
	}
}

// evacuated returns the cell of show zones for a zone, or an empty text without one.
func (group *seeded) evacuated(number int, zone string) string {
	table, err := group.running[number].Local(context.Background(), &wire.NodeQuery{What: "zones"})
	Expect(err).NotTo(HaveOccurred())
	for _, row := range table.GetRows() {
		if row.GetCells()[0] == zone {
			return row.GetCells()[1]
		}
	}
	return ""
}

// race sends opposite orders about a zone through two VMs at once, several times. All
// VMs must agree on the state after it.
func (group *seeded) race(step seedStep) {
	for range step.Version {
		var racing conc.WaitGroup
		for at, number := range step.On {
			racing.Go(func() {
				// One of the orders may be refused as a conflict.
				_ = group.running[number].Evacuate(context.Background(), step.Zone, at%2 == 0)
			})
		}
		racing.Wait()
	}
	Eventually(func() bool {
		first := group.evacuated(step.On[0], step.Zone)
		for number := range group.running {
			if group.evacuated(number, step.Zone) != first {
				return false
			}
		}
		return true
	}).WithTimeout(seedLimit).Should(BeTrue())
}

// poll reports the load of one gateway and returns the sum of the other
// gateways' loads and the number of all gateways.
func (group *seeded) poll(number int, gateway string, running uint32) []uint32 {
	// The other gateways report before each poll, so that their loads do not expire.
	for other := range group.running {
		if other == number {
			continue
		}
		_, err := group.running[other].Poll(context.Background(), &wire.PollRequest{
			Node: fmt.Sprintf("gateway%d", other), Gateways: 1, Loads: []*wire.EndpointLoad{{Id: "e1", Running: 2, Late: 1}},
			Uses: []*wire.ServiceUse{{Service: "s", Level: 1, Streams: 2}, {Service: "s", Level: 2, Streams: 1}},
		})
		Expect(err).NotTo(HaveOccurred())
	}
	reply, err := group.running[number].Poll(context.Background(), &wire.PollRequest{
		Node: gateway, Gateways: 1, Loads: []*wire.EndpointLoad{{Id: "e1", Running: running, Late: running / 2}},
		Uses: []*wire.ServiceUse{{Service: "s", Level: 1, Streams: running}, {Service: "s", Level: 2, Streams: running / 2}},
	})
	Expect(err).NotTo(HaveOccurred())
	sum, late := uint32(0), uint32(0)
	for _, load := range reply.GetLoads() {
		sum, late = sum+load.GetRunning(), late+load.GetLate()
	}
	// Half of every reported load is late.
	Expect(late).To(Equal(sum / 2))
	uses := map[uint32]uint32{}
	for _, use := range reply.GetUses() {
		uses[use.GetLevel()] += use.GetStreams()
	}
	Expect([]uint32{uses[1], uses[2]}).To(Equal([]uint32{sum, sum / 2}))
	return []uint32{sum, reply.GetGateways()}
}

// voters lists the voters, or returns nil if a member is unreachable or a learner.
func (group *seeded) voters(number int) []string {
	table, err := group.running[number].Local(context.Background(), &wire.NodeQuery{What: "control"})
	Expect(err).NotTo(HaveOccurred())
	var names []string
	for _, row := range table.GetRows() {
		switch row.GetCells()[3] {
		case "unreachable", "learner":
			return nil
		}
		names = append(names, row.GetCells()[0])
	}
	return names
}

var _ = Describe("a group made of seeds", func() {
	text, err := os.ReadFile("testdata/seeds.json")
	if err != nil {
		panic(err)
	}
	var scripts []seedScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			group := newSeeded(script)
			for _, step := range script.Steps {
				By(fmt.Sprintf("%+v", step))
				group.do(step)
			}
		})
	}
})
