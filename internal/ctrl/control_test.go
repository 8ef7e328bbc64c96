package ctrl_test

import (
	"context"
	"encoding/json"
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

const limit = 30 * time.Second

// command is an operator's line with the reply it must get.
type command struct {
	ID       string `json:"id"`
	Text     string `json:"text"`
	Code     string `json:"code"`
	Revision uint64 `json:"revision"`
	Contains string `json:"contains"`
}

func load() []command {
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

	// Guards against commands that are done twice, or lose their first answer
	// in a restart.
	It("gives each command id its first answer, before and after a restart", func() {
		for range 2 {
			control := start()
			for _, script := range load() {
				reply := execute(control, script.ID, script.Text)
				Expect(reply.GetCode()).To(Equal(script.Code), "%s: %s", script.Text, reply.GetError())
				Expect(reply.GetError()).To(ContainSubstring(script.Contains))
				Expect(reply.GetRevision()).To(Equal(script.Revision), script.Text)
			}
			Expect(control.Close()).To(Succeed())
		}
	})

	// Guards against changes that are accepted without room on the disk, and
	// against a control VM that cannot be read or does not recover.
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
