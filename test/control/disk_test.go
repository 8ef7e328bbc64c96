package control_test

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

const (
	// answerLimit is the time in which a change must be accepted while no more than one disk
	// is full: the users' bound for acks.
	answerLimit = 4 * time.Second
	// answerPause is the time between two changes, and between two tries of one.
	answerPause = 50 * time.Millisecond
	// documentSize is the size of a large configuration, in bytes.
	documentSize = 1 << 20
)

// runDisk runs a step about full disks.
func (runner *runner) runDisk(word, rest string) {
	switch word {
	case "full":
		whom, bytes, _ := strings.Cut(rest, " ")
		runner.pick(whom)
		limit := 0
		if bytes != "" {
			limit = number(bytes)
		}
		Expect(runner.group.Process(runner.victim).FillDisk(uint64(limit))).To(Succeed())
	case "room":
		Expect(runner.group.Process(runner.victim).FreeDisk()).To(Succeed())
	case "startFull":
		runner.pick(rest)
		Expect(runner.group.StartFull(runner.victim)).To(Succeed())
		runner.up[runner.victim] = true
	case "runs":
		Consistently(func() bool { return runner.group.Process(runner.victim).Ended() }).WithTimeout(2*time.Second).
			Should(BeFalse(), "%s ended: %s", runner.group.Name(runner.victim), runner.group.Process(runner.victim).Log())
	case "answered":
		for range number(rest) {
			runner.expectAnswered(func(id string) (*wire.CommandReply, error) {
				return runner.group.Execute(runner.randomRunning(), id, runner.texts[id])
			})
		}
	case "entry":
		Expect(runner.group.StartEntry()).To(Succeed())
	case "answeredAtEntry":
		for range number(rest) {
			runner.expectAnswered(func(id string) (*wire.CommandReply, error) {
				return runner.group.ExecuteAtEntry(id, runner.texts[id])
			})
		}
	case "deploy":
		for range number(rest) {
			version := len(runner.replies) + 1
			document := randomDocument(version)
			runner.expectAnswered(func(id string) (*wire.CommandReply, error) {
				return runner.group.Deploy(runner.randomRunning(), id, uint64(version), document)
			})
		}
	case "peak":
		peak, err := runner.group.Process(runner.victim).PeakMemory()
		Expect(err).NotTo(HaveOccurred())
		fmt.Printf("peak of the resident memory: %d MiB, bound %s MiB\n", peak, rest)
		Expect(peak).To(BeNumerically("<=", number(rest)))
	default:
		Fail("unknown step " + word)
	}
}

// pick makes a leader, a follower, the victim or a member with a number the victim.
func (runner *runner) pick(whom string) {
	switch whom {
	case "victim":
	case "leader", "follower":
		runner.victim = runner.leader()
		if whom == "follower" {
			runner.victim = runner.other(runner.victim)
		}
	default:
		runner.victim = number(whom) - 1
	}
}

// randomDocument returns bytes that do not compress.
func randomDocument(seed int) []byte {
	var document []byte
	for at := 0; len(document) < documentSize; at++ {
		sum := sha256.Sum256([]byte(strconv.Itoa(seed) + "-" + strconv.Itoa(at)))
		document = append(document, sum[:]...)
	}
	return document
}

// expectAnswered sends a change with one id until it is accepted, which must be within
// answerLimit.
func (runner *runner) expectAnswered(send func(id string) (*wire.CommandReply, error)) {
	id := fmt.Sprintf("c%d", len(runner.replies)+1)
	runner.texts[id] = "create customer " + id + " tier paid"
	began, refusal := time.Now(), ""
	for runner.replies[id] == nil {
		reply, err := send(id)
		if err == nil && reply.GetCode() == "" {
			runner.replies[id] = reply
			break
		}
		refusal = fmt.Sprint(reply.GetCode(), " ", reply.GetError(), " ", err)
		Expect(time.Since(began)).To(BeNumerically("<", answerLimit), "change %s, last refusal: %s", id, refusal)
		time.Sleep(answerPause)
	}
	Expect(time.Since(began)).To(BeNumerically("<", answerLimit), "change %s, last refusal: %s", id, refusal)
	Expect(runner.replies[id].GetRevision()).To(Equal(uint64(len(runner.replies))), "each change increments the revision by one")
	time.Sleep(answerPause)
}
