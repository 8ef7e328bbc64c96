// Package repl decides whether enough control VMs hold a record for it to be acknowledged.
// It does no I/O. Control VMs use it.
package repl

// Verdict is a decision about the acknowledgement of a record.
type Verdict int

// Verdicts.
const (
	// Wait for more control VMs to answer.
	Wait Verdict = iota
	// Acknowledge the record.
	Acknowledge
	// Refuse to acknowledge it, since it might be lost with this process.
	Refuse
)

// Write is the replication of one record to the other control VMs. It is immutable.
type Write struct {
	// required is the number of copies that outlive the failures to be tolerated.
	required int
	// pending counts the control VMs that have not answered, stored those that hold a copy.
	pending, stored int
	// inContact counts those that were heard from recently and can hold a copy.
	inContact int
}

// New returns a write that must survive the failure of tolerance control VMs, and of one at
// least. Each of the other control VMs has an element, which is set if it was heard from
// recently.
func New(tolerance int, inContact []bool) Write {
	write := Write{required: max(tolerance, 1), pending: len(inContact)}
	for _, heard := range inContact {
		if heard {
			write.inContact++
		}
	}
	return write
}

// WithStored returns the write after a control VM stored a copy.
func (write Write) WithStored() Write {
	write.pending--
	write.stored++
	return write
}

// WithFailure returns the write after a control VM failed to answer.
func (write Write) WithFailure() Write {
	write.pending--
	return write
}

// WithUnsupported returns the write after a control VM of an earlier version answered that it
// stores no copies.
func (write Write) WithUnsupported(inContact bool) Write {
	write.pending--
	if inContact {
		write.inContact--
	}
	return write
}

// Verdict decides about the record. isOver is set when there is no more time to wait. A
// process that is in contact with fewer control VMs than required acknowledges the record
// once all of these hold it, so that endpoints can leave while others are dead or cut off.
func (write Write) Verdict(isOver bool) Verdict {
	switch {
	case write.stored >= write.required:
		return Acknowledge
	case write.pending > 0 && !isOver:
		return Wait
	case write.stored >= min(write.required, write.inContact):
		return Acknowledge
	}
	return Refuse
}

// Stored returns the number of other control VMs that hold a copy.
func (write Write) Stored() int { return write.stored }
