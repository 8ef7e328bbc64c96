package endpt

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/link"
	"github.com/hibiscuslug/hibiscuslug/internal/opts"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// endlessBytes is what a faulty engine writes if nothing holds it back. It is far more
	// than an attempt holds, with the buffers of its connections.
	endlessBytes = 512 << 20
	heldBytes    = 64 << 20
	// stalledTime is the time without progress after which the engine counts as held back.
	stalledTime = 2 * time.Second
)

type endlessScript struct {
	Name       string `json:"name"`
	Engine     string `json:"engine"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Start      string `json:"start"`
	More       string `json:"more"`
	// Ends is set when the attempt must end although its answer does not.
	Ends bool `json:"ends"`
}

// faultyEngine answers every request with the start of an answer that does not end, and
// reports how many bytes it could write before its connection stalled or ended.
type faultyEngine struct {
	listener net.Listener
	serving  conc.WaitGroup
	wrote    chan int
}

func newFaultyEngine(script endlessScript) *faultyEngine {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	made := &faultyEngine{listener: listener, wrote: make(chan int, 16)}
	made.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			made.serving.Go(func() { made.write(conn, script) })
		}
	})
	DeferCleanup(func() {
		Expect(listener.Close()).To(Succeed())
		made.serving.Wait()
	})
	return made
}

func (made *faultyEngine) write(conn net.Conn, script endlessScript) {
	defer conn.Close() //nolint:errcheck // the other side may have closed it
	head := make([]byte, 4<<10)
	if size, err := conn.Read(head); err != nil || !bytes.Contains(head[:size], []byte(script.Path[len(script.Path)-2:])) {
		return // A query or an order.
	}
	written, err := io.WriteString(conn, script.Start)
	chunk := bytes.Repeat([]byte(script.More), 64<<10/len(script.More))
	for err == nil && written < endlessBytes {
		var size int
		if err = conn.SetWriteDeadline(time.Now().Add(stalledTime)); err == nil {
			size, err = conn.Write(chunk)
		}
		written += size
	}
	made.wrote <- written
}

// Guards against an endpoint process that keeps all bytes of a faulty engine in memory
// while a reader is slow or gone.
var _ = Describe("an answer without end", func() {
	text, err := os.ReadFile("testdata/endless.json")
	if err != nil {
		panic(err)
	}
	var scripts []endlessScript
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It("is held back or given up: "+script.Name, func() {
			faulty := newFaultyEngine(script)
			endpoint, err := New(Settings{
				Node: opts.Node{Name: "endpoint1", Zone: "zone1", Listen: "127.0.0.1:0", MaxHeld: heldBytes},
				Endpoint: opts.Endpoint{
					Entry: []string{"127.0.0.1:1"}, Engine: []string{script.Engine + ",e1,http://" + faulty.listener.Addr().String() + ",s"}, Slots: 1, Lifetime: 3 * clock.Second,
				},
			}, clock.NewSystem(), event.Discard())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = endpoint.Close() })
			conn, err := link.NewPool().Fresh(context.Background(), endpoint.Address())
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithCancel(context.Background())
			stream, err := wire.NewDRPCRelayClient(conn).Run(ctx, &wire.Attempt{
				RequestId: "r1", Attempt: 1, Incarnation: endpoint.incarnation, Engine: "e1", Method: "POST", Path: script.Path, Stream: true, Idempotent: script.Idempotent,
			})
			Expect(err).NotTo(HaveOccurred())
			var written int
			Eventually(faulty.wrote).WithTimeout(time.Minute).Should(Receive(&written))
			Expect(written).To(BeNumerically("<", heldBytes), "bytes that the engine could write")
			Expect(endpoint.memory.held.Held()).To(BeNumerically("<", heldBytes), "bytes that the process holds")
			if script.Ends {
				for answer := (*wire.Answer)(nil); answer.GetKind() != wire.AnswerKind_ANSWER_KIND_END; {
					answer, err = stream.Recv()
					Expect(err).NotTo(HaveOccurred())
					Expect(answer.GetOutcome()).NotTo(Equal(wire.Outcome_OUTCOME_OK))
				}
			}
			cancel()
			// The connection may have ended with the context.
			_ = conn.Close()
			_, err = endpoint.Cancel(context.Background(), &wire.CancelRequest{RequestId: "r1", Attempt: 1})
			Expect(err).NotTo(HaveOccurred())
			Eventually(func() bool { return endpoint.lanes["e1"].idle() }).WithTimeout(time.Minute).Should(BeTrue(), "the slot is free again")
		})
	}
})
