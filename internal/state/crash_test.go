package state_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Guards against blocks for crashes that a snapshot loses, that stay for good, or whose
// removal alters an earlier revision.
var _ = It("keeps blocks for crashes until they have ended", func() {
	machine := state.NewMachine()
	put := func(block *wire.CrashBlock) string {
		result, _ := machine.Apply(&wire.Change{Body: &wire.Change_CrashBlock{CrashBlock: block}})
		return result.GetCode()
	}
	part, request := &wire.CrashBlock{Part: 66, At: 1000, Until: 31_000, Crashes: 1}, &wire.CrashBlock{Fingerprint: 66, At: 2000, Until: 602_000, Crashes: 2}
	Expect(put(part)).To(BeEmpty())
	Expect(put(request)).To(BeEmpty())
	Expect(put(&wire.CrashBlock{At: 1, Until: 2})).To(Equal(state.CodeInvalid))
	Expect(put(&wire.CrashBlock{Part: 1, Fingerprint: 2, At: 1, Until: 2})).To(Equal(state.CodeInvalid))
	earlier := machine.State()
	Expect(earlier.CrashBlocks()).To(Equal([]*wire.CrashBlock{request, part}))
	Expect(state.Restore(machine.Snapshot()).State().CrashBlocks()).To(Equal(earlier.CrashBlocks()))

	longer := &wire.CrashBlock{Part: 67, At: 40_000, Until: 100_000, Crashes: 2}
	Expect(put(longer)).To(BeEmpty())
	Expect(machine.State().CrashBlocks()).To(Equal([]*wire.CrashBlock{request, longer}))
	Expect(put(&wire.CrashBlock{Part: 67, At: 50_000, Until: 50_000, Crashes: 2})).To(BeEmpty())
	Expect(machine.State().CrashBlocks()).To(Equal([]*wire.CrashBlock{request}))
	Expect(earlier.CrashBlocks()).To(Equal([]*wire.CrashBlock{request, part}))
})
