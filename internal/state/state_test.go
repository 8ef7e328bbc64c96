package state_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestState(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "State")
}

func deploy(version uint64, text string) *wire.Change {
	deployment, err := state.NewDeployment(version, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return &wire.Change{Body: &wire.Change_Deployment{Deployment: deployment}}
}

// Guards against an older or another configuration that takes the place of the
// one that was accepted.
var _ = It("takes only a higher version of the deployment", func() {
	machine := state.NewMachine()
	for _, step := range []struct {
		version uint64
		text    string
		held    string
	}{{5, "five", "five"}, {5, "other", "five"}, {3, "three", "five"}, {8, "eight", "eight"}} {
		result, _ := machine.Apply(deploy(step.version, step.text))
		Expect(result.GetCode() == "").To(Equal(step.text == step.held))
		held, err := state.Document(machine.State().Deployment())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(held)).To(Equal(step.held))
	}
	held, err := state.Document(state.Restore(machine.Snapshot()).State().Deployment())
	Expect(err).NotTo(HaveOccurred())
	Expect(string(held)).To(Equal("eight"))
})

// Guards against polls that carry every configuration ever sent: after a power
// failure 24 gateways asked for 42 documents each (npwfa-doors trouble-1).
var _ = It("sends only the newest of several documents", func() {
	var recent state.Recent
	base := state.New()
	document := bytes.Repeat([]byte("route "), 1000)
	for version := uint64(1); version <= 40; version++ {
		change := deploy(version, string(document))
		recent = recent.With(&wire.Numbered{Revision: version, Change: change})
	}
	size := 0
	for _, numbered := range recent {
		size += numbered.SizeVT()
	}
	newest := recent[len(recent)-1].SizeVT()
	Expect(size).To(BeNumerically("<", newest+40*64))
	for _, numbered := range recent {
		next, err := base.WithNumbered(numbered)
		Expect(err).NotTo(HaveOccurred())
		base = next
	}
	held, err := state.Document(base.Deployment())
	Expect(err).NotTo(HaveOccurred())
	Expect(held).To(Equal(document))
})
