package gate_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/plan"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/platform"
)

// slowDialect does not finish decoding a configuration after the first one until released.
type slowDialect struct {
	platform.Dialect
	first   chan struct{}
	release chan struct{}
}

func (dialect slowDialect) Plan(document []byte) (*plan.Plan, error) {
	select {
	case dialect.first <- struct{}{}:
	default:
		<-dialect.release
	}
	return dialect.Dialect.Plan(document)
}

// Guards against a revoked key that is accepted because a newer configuration, in which it
// is gone, was confirmed but is not in use yet.
var _ = It("refuses keys while a newer configuration is received and not in use", func() {
	site := newSite()
	dialect := slowDialect{first: make(chan struct{}, 1), release: make(chan struct{})}
	Expect(site.gateway.Close()).To(Succeed())
	site.gateway = startGatewayWith(dialect, "gateway2", site.control.Address(), clock.Second)
	DeferCleanup(func() { close(dialect.release) })
	site.startBackend([]fake.Step{{Text: sealed}}, 1)
	status := func() int { return site.status(request(script{Method: "GET", Path: "/look/1"})) }
	Expect(status()).To(Equal(http.StatusOK))
	Expect(site.control.Deploy(context.Background(), 2, document(2, `"k2"`))).To(Succeed())
	Eventually(status).WithTimeout(limit).Should(Equal(http.StatusServiceUnavailable))
})
