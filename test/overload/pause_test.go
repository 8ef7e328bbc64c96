package overload_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/procs"
)

// Guards against paid requests that wait until a free stream ends, and against a
// paused stream that is truncated, never resumed or run a second time.
var _ = It("pauses a free stream on the only slot for paid requests and completes it later", func() {
	script := load("testdata/pause.json")
	deployment := deploy(script)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := &http.Client{}
	awaitTokens(ctx, client, deployment, append(script.PaidTokens, script.FreeTokens...))
	base := deployment.Entries[0].HTTP

	var free procs.Completion
	var ended atomic.Bool
	var caller conc.WaitGroup
	caller.Go(func() {
		free = procs.CompleteTimed(ctx, client, base, script.FreeTokens[0], "free", script.FreeEvents)
		ended.Store(true)
	})
	defer caller.Wait()
	Eventually(func() string {
		out, _ := deployment.Page(deployment.Engines[0], "/engine/load")
		return out
	}).WithTimeout(limit).WithPolling(time.Millisecond).Should(ContainSubstring(`"running":1`))
	for number := range script.Paid {
		paid := procs.CompleteTimed(ctx, client, base, script.PaidTokens[0], fmt.Sprint("paid", number), script.Events)
		Expect(paid.Err).NotTo(HaveOccurred())
		Expect(paid.Status).To(Equal(http.StatusOK))
		Expect(ended.Load()).To(BeFalse(), "paid request %d waited for the free stream", number)
	}
	caller.Wait()
	Expect(free.Err).NotTo(HaveOccurred())
	Expect(free.Status).To(Equal(http.StatusOK))
	Expect(countAttempts(deployment)).To(HaveKeyWithValue(free.RequestID, 1))
})
