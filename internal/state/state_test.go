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

func deploymentChange(version uint64, text string) *wire.Change {
	deployment, err := state.NewDeployment(version, []byte(text))
	Expect(err).NotTo(HaveOccurred())
	return &wire.Change{Body: &wire.Change_Deployment{Deployment: deployment}}
}

// Guards against an accepted deployment being replaced by an older one, or by
// different content with the same version.
var _ = It("accepts only a higher version of the deployment", func() {
	machine := state.NewMachine()
	for _, step := range []struct {
		version  uint64
		text     string
		expected string
	}{{5, "five", "five"}, {5, "other", "five"}, {3, "three", "five"}, {8, "eight", "eight"}} {
		result, _ := machine.Apply(deploymentChange(step.version, step.text))
		Expect(result.GetCode() == "").To(Equal(step.text == step.expected))
		document, err := state.Document(machine.State().Deployment())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(document)).To(Equal(step.expected))
	}
	document, err := state.Document(state.Restore(machine.Snapshot()).State().Deployment())
	Expect(err).NotTo(HaveOccurred())
	Expect(string(document)).To(Equal("eight"))
})

// Guards against polls that carry the document of every earlier deployment. After
// a power failure, 24 gateways each requested 42 documents.
var _ = It("sends only the newest of several documents", func() {
	var recent state.Recent
	base := state.New()
	document := bytes.Repeat([]byte("route "), 1000)
	for version := uint64(1); version <= 40; version++ {
		change := deploymentChange(version, string(document))
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
	decoded, err := state.Document(base.Deployment())
	Expect(err).NotTo(HaveOccurred())
	Expect(decoded).To(Equal(document))
})
