package ctrl

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/roster"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

// Guards against ends of endpoints that are never acknowledged beside control VMs of an
// earlier version, which do not know the call.
var _ = It("tells a control VM that stores no copies from one that fails", func() {
	server, err := link.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server.Start()
	control := &Control{pool: link.NewPool(), clock: clock.NewSystem()}
	DeferCleanup(control.pool.Close)
	address := server.Address()
	send := func() error {
		return control.sendCopy(context.Background(), address, roster.Record{ID: "e1", Gone: true})
	}
	Expect(errors.Is(send(), errUnsupported)).To(BeTrue())
	Expect(server.Close()).To(Succeed())
	err = send()
	Expect(err).To(HaveOccurred())
	Expect(errors.Is(err, errUnsupported)).To(BeFalse())
})
