package claim_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/claim"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Claim")
}

// step is an operation of a script and its expected reply.
type step struct {
	Op          string `json:"op"`
	By          string `json:"by"`
	Customer    string `json:"customer"`
	Key         string `json:"key"`
	Hash        string `json:"hash"`
	Replaces    string `json:"replaces"`
	Incarnation uint64 `json:"incarnation"`
	Outcome     string `json:"outcome"`
	Body        string `json:"body"`
	Size        int    `json:"size"`
	At          int64  `json:"at"`
	Want        string `json:"want"`
	Holder      string `json:"holder"`
	Answer      string `json:"answer"`
	Omitted     bool   `json:"omitted"`
}

type script struct {
	Name  string `json:"name"`
	Steps []step `json:"steps"`
}

func valueOr(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// parseAttempt parses "r1.2" as attempt 2 of request r1.
func parseAttempt(text string) (string, uint32) {
	id, digits, _ := strings.Cut(text, ".")
	var number uint32
	_, _ = fmt.Sscan(digits, &number)
	return id, number
}

func (step step) message() *wire.ClaimOp {
	op := &wire.ClaimOp{
		Customer: valueOr(step.Customer, "agency"), Key: valueOr(step.Key, "k"), BodyHash: []byte(valueOr(step.Hash, "hash")),
		Incarnation: max(step.Incarnation, 1), Endpoint: "endpoint1", EndpointAddress: "127.0.0.1:1", At: step.At,
		Lookup: step.Op == "lookup", Release: step.Op == "release",
	}
	op.RequestId, op.Attempt = parseAttempt(step.By)
	op.ReplacesRequestId, op.ReplacesAttempt = parseAttempt(step.Replaces)
	if step.Op == "settle" {
		body := []byte(step.Body)
		if step.Size > 0 {
			body = make([]byte, step.Size)
		}
		op.Answer = &wire.ClaimAnswer{Outcome: wire.Outcome(wire.Outcome_value["OUTCOME_"+step.Outcome]), Status: 200, Body: body}
	}
	return op
}

// attemptID is the inverse of parseAttempt.
func attemptID(op *wire.ClaimOp) string {
	return fmt.Sprintf("%s.%d", op.GetRequestId(), op.GetAttempt())
}

// Guards against a second execution of a request that is finished, running or
// released, or whose outcome is unknown.
var _ = Describe("claim table", func() {
	text, err := os.ReadFile("testdata/claims.json")
	if err != nil {
		panic(err)
	}
	var scripts []script
	if err := json.Unmarshal(text, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			table := claim.NewTable()
			for number, step := range script.Steps {
				reply := table.Apply(step.message())
				line := fmt.Sprintf("step %d: %+v", number+1, step)
				Expect(reply.GetState().String()).To(Equal("CLAIM_STATE_"+step.Want), line)
				if step.Holder != "" {
					Expect(attemptID(reply.GetHolder())).To(Equal(step.Holder), line)
				}
				if step.Answer != "" {
					Expect(string(reply.GetAnswer().GetBody())).To(Equal(step.Answer), line)
				}
				Expect(reply.GetAnswer().GetBodyOmitted()).To(Equal(step.Omitted), line)
				table = claim.Restore(table.Snapshot())
			}
		})
	}
})

// Guards against replicas that diverge after a snapshot, and against two outcomes
// or two unfenced holders for one key, when operations are duplicated, delayed or
// reordered.
var _ = It("agrees with a replica and keeps its invariants under random operations", func() {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, replica := claim.NewTable(), claim.NewTable()
		model := referenceModel{fenced: map[string]bool{}, holders: map[string]string{}, outcomes: map[string]string{}}
		var sent []*wire.ClaimOp
		for number := range 300 {
			op := model.randomOp(random, int64(number))
			if len(sent) > 0 && random.IntN(3) == 0 {
				op = sent[random.IntN(len(sent))]
			}
			sent = append(sent, op)
			line := fmt.Sprintf("seed %d step %d: %v", seed, number, op)
			peeked, unchanged := table.Peek(op)
			reply := table.Apply(op)
			if unchanged {
				Expect(peeked.GetState()).To(Equal(reply.GetState()), line)
			}
			Expect(replica.Apply(op).String()).To(Equal(reply.String()), line)
			Expect(model.check(op, reply)).To(Succeed(), line)
			if random.IntN(20) == 0 {
				replica = claim.Restore(table.Snapshot())
			}
		}
	}
})

// referenceModel tracks the holder, the fenced attempts and the outcome of each
// key.
type referenceModel struct {
	fenced   map[string]bool
	holders  map[string]string
	outcomes map[string]string
}

// randomOp returns a random operation with a time.
func (model *referenceModel) randomOp(random *rand.Rand, at int64) *wire.ClaimOp {
	op := step{
		Op: []string{"claim", "claim", "settle", "release", "lookup"}[random.IntN(5)], Key: fmt.Sprint(random.IntN(3)),
		By: fmt.Sprintf("r%d.%d", random.IntN(4), 1+random.IntN(3)), Outcome: []string{"OK", "UNKNOWN"}[random.IntN(2)],
		Body: fmt.Sprint(at), At: at,
	}
	// As entry VMs do, only a fenced holder is replaced or released.
	if holder, ok := model.holders[op.Key]; ok && random.IntN(2) == 0 {
		model.fenced[op.Key+holder] = true
		op.Replaces = holder
	}
	if op.Op == "release" {
		model.fenced[op.Key+op.By] = true
	}
	return op.message()
}

// check returns an error if a reply violates an invariant, and records the reply.
func (model *referenceModel) check(op *wire.ClaimOp, reply *wire.ClaimReply) error {
	holder, running := model.holders[op.GetKey()]
	switch reply.GetState() {
	case wire.ClaimState_CLAIM_STATE_GRANTED:
		if _, ended := model.outcomes[op.GetKey()]; ended {
			return fmt.Errorf("claim granted after its outcome was recorded")
		}
		if running && holder != attemptID(op) && !model.fenced[op.GetKey()+holder] {
			return fmt.Errorf("claim granted while attempt %s may still run", holder)
		}
		model.holders[op.GetKey()] = attemptID(op)
	case wire.ClaimState_CLAIM_STATE_DONE, wire.ClaimState_CLAIM_STATE_UNKNOWN:
		outcome := reply.GetAnswer().String()
		if first, ended := model.outcomes[op.GetKey()]; ended && first != outcome {
			return fmt.Errorf("outcome changed: first outcome was %s", first)
		}
		model.outcomes[op.GetKey()] = outcome
		if !bytes.Equal(op.GetBodyHash(), reply.GetHolder().GetBodyHash()) {
			return fmt.Errorf("reply contains the answer to a request with another body")
		}
	default:
	}
	return nil
}
