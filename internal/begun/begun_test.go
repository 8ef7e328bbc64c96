package begun_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/begun"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

func TestBegun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Begun")
}

// Guards against a table that grows with every part, or forgets those in use.
var _ = It("remembers the latest parts and forgets old ones", func() {
	table := begun.Table{}
	const parts = 20_000
	for part := range uint64(parts) {
		table.Put(part, clock.Millis(part+1))
		table.Put(7, clock.Millis(part+2))
	}
	at, ok := table.At(parts - 1)
	Expect(ok).To(BeTrue())
	Expect(at).To(Equal(clock.Millis(parts)))
	at, ok = table.At(7)
	Expect(ok).To(BeTrue())
	Expect(at).To(Equal(clock.Millis(parts + 1)))
	_, ok = table.At(8)
	Expect(ok).To(BeFalse())
	remembered := 0
	for part := range uint64(parts) {
		if _, ok := table.At(part); ok {
			remembered++
		}
	}
	Expect(remembered).To(BeNumerically("<=", 2*4096))
})
