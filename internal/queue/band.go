package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// band holds the work of one tier and priority. The customer with the fewest
// slots for its weight goes next, and among equal ones the one with the least
// virtual time, which grows with the work done for it. Between short and long
// work the least virtual finish decides, which grows with the size, so long
// work ages.
type band struct {
	tier     wire.Tier
	priority int32
	virtual  float64
	accounts map[string]*account
	short    pile[*flow]
	long     pile[*flow]
	// due holds the long and the paused entries by the instant at which they go first.
	due     pile[*entry]
	waiting int
	// active counts the customers with waiting or running work, weights sums
	// their weights.
	active  int
	weights float64
}

// account is what a customer has used of a band.
type account struct {
	name    string
	weight  float64
	virtual float64
	short   flow
	long    flow
	running int
	active  bool
}

// flow is a customer's waiting work of one class, short or long.
type flow struct {
	account *account
	entries pile[*entry]
	index   int
}

func newBand(tier wire.Tier, priority int32) *band {
	flows := func() pile[*flow] {
		return pile[*flow]{
			less:  func(first, second *flow) bool { return first.account.before(second.account) },
			index: func(flow *flow) *int { return &flow.index },
		}
	}
	return &band{
		tier: tier, priority: priority, accounts: map[string]*account{}, short: flows(), long: flows(),
		due: pile[*entry]{
			less:  func(first, second *entry) bool { return first.due < second.due },
			index: func(entry *entry) *int { return &entry.dueIndex },
		},
	}
}

func newFlow(owner *account) flow {
	return flow{account: owner, index: none, entries: pile[*entry]{
		less: func(first, second *entry) bool {
			if first.key != second.key {
				return first.key < second.key
			}
			return first.sequence < second.sequence
		},
		index: func(entry *entry) *int { return &entry.flowIndex },
	}}
}

// before tells whether a customer goes before another: the one with fewer slots
// for its weight, or else the one that used less.
func (account *account) before(other *account) bool {
	left, right := float64(account.running)*other.weight, float64(other.running)*account.weight
	if left != right {
		return left < right
	}
	if account.virtual != other.virtual {
		return account.virtual < other.virtual
	}
	return account.name < other.name
}

// finish is the virtual time at which a flow's next work would be done.
func (flow *flow) finish() float64 {
	head, ok := flow.entries.top()
	if !ok {
		return flow.account.virtual
	}
	return flow.account.virtual + float64(head.remaining())/flow.account.weight
}

// before tells whether a band goes before another.
func (band *band) before(tier wire.Tier, priority int32) bool {
	if band.tier != tier {
		return band.tier < tier
	}
	return band.priority > priority
}

// account returns a customer's account. A customer without work starts at the
// current virtual time, so that idle time earns no credit.
func (band *band) account(customer string, weight uint32) *account {
	known, ok := band.accounts[customer]
	if !ok {
		known = &account{name: customer, virtual: band.virtual}
		known.short, known.long = newFlow(known), newFlow(known)
		band.accounts[customer] = known
	}
	if !known.active {
		known.weight = float64(max(weight, 1))
		known.virtual = max(known.virtual, band.virtual)
		known.active = true
		band.active++
		band.weights += known.weight
	}
	return known
}

// settle takes a customer without work off the band.
func (band *band) settle(account *account) {
	if account.running > 0 || account.short.entries.Len() > 0 || account.long.entries.Len() > 0 {
		return
	}
	if account.active {
		account.active = false
		band.active--
		band.weights -= account.weight
	}
	if account.virtual <= band.virtual || band.waiting == 0 {
		delete(band.accounts, account.name)
	}
}

func (band *band) side(entry *entry, account *account) (*flow, *pile[*flow]) {
	if entry.long {
		return &account.long, &band.long
	}
	return &account.short, &band.short
}

func (band *band) push(entry *entry) {
	account := band.account(entry.Customer, entry.Weight)
	flow, flows := band.side(entry, account)
	flow.entries.add(entry)
	if flow.index == none {
		flows.add(flow)
	} else {
		flows.fix(flow)
	}
	if entry.long || entry.begun {
		band.due.add(entry)
	}
	band.waiting++
}

func (band *band) remove(entry *entry) {
	account := band.accounts[entry.Customer]
	flow, flows := band.side(entry, account)
	flow.entries.remove(entry)
	if flow.entries.Len() == 0 {
		flows.remove(flow)
	} else {
		flows.fix(flow)
	}
	band.due.remove(entry)
	band.waiting--
	band.settle(account)
}

// take removes an entry that will run and charges its customer.
func (band *band) take(entry *entry) {
	account := band.accounts[entry.Customer]
	band.virtual = max(band.virtual, account.virtual)
	account.running++
	band.remove(entry)
	entry.charged = entry.remaining()
	band.charge(account, float64(entry.charged))
}

// charge changes what a customer has used; a refund is negative and leads no
// further back than the current virtual time, so that it gives no precedence
// over customers that used less.
func (band *band) charge(account *account, events float64) {
	account.virtual = max(account.virtual+events/account.weight, min(account.virtual, band.virtual))
	band.short.fix(&account.short)
	band.long.fix(&account.long)
}

// leave takes a running entry off its customer's account.
func (band *band) leave(entry *entry, unused float64) {
	account, ok := band.accounts[entry.Customer]
	if !ok {
		return
	}
	account.running--
	band.charge(account, -unused)
	band.settle(account)
}

// share returns the slots that a customer's weight entitles it to.
func (band *band) share(account *account, slots int) float64 {
	return float64(slots) * account.weight / max(band.weights, account.weight)
}

// next returns the entry that runs next, or nil. Without long, long work is left out.
func (band *band) next(now clock.Millis, slots int, long bool) *entry {
	if overdue := band.overdue(now, slots); overdue != nil && (long || !overdue.long) {
		return overdue
	}
	short, hasShort := band.short.top()
	other, hasLong := band.long.top()
	hasLong = hasLong && long
	switch {
	case hasShort && (!hasLong || short.finish() <= other.finish()):
		head, _ := short.entries.top()
		return head
	case hasLong:
		head, _ := other.entries.top()
		return head
	}
	return nil
}

// overdue returns an entry whose time to go first has come, or nil. A customer
// beyond its share has no such claim: its work waits for its own.
func (band *band) overdue(now clock.Millis, slots int) *entry {
	first, ok := band.due.top()
	if !ok || first.due > now {
		return nil
	}
	account := band.accounts[first.Customer]
	if float64(account.running+1) > band.share(account, slots) {
		return nil
	}
	return first
}

// last returns a waiting entry that has not started and may be displaced, from
// the customer that has most waiting, or nil.
func (band *band) last() *entry {
	var most *account
	for _, account := range band.accounts {
		if most == nil || account.waiting() > most.waiting() ||
			(account.waiting() == most.waiting() && account.name < most.name) {
			most = account
		}
	}
	if most == nil {
		return nil
	}
	for _, flow := range []*flow{&most.long, &most.short} {
		// The end of a heap's list is one of its late entries.
		for at := flow.entries.Len() - 1; at >= 0; at-- {
			if !flow.entries.list[at].begun {
				return flow.entries.list[at]
			}
		}
	}
	return nil
}

func (account *account) waiting() int {
	return account.short.entries.Len() + account.long.entries.Len()
}
