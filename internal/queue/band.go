package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// band holds the work of one tier and priority. Customers share it by weighted
// fair queueing: the flow with the least virtual finish goes next. The finish
// grows with the size of the work, so short work is preferred, and virtual
// time grows with the work done, so long work ages.
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
			less:  func(first, second *flow) bool { return first.finish() < second.finish() },
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

// charge changes what a customer has used; a refund is negative.
func (band *band) charge(account *account, events float64) {
	account.virtual += events / account.weight
	band.short.fix(&account.short)
	band.long.fix(&account.long)
}

// leave takes a running entry off its customer's account.
func (band *band) leave(entry *entry, unused float64) {
	account, ok := band.accounts[entry.Customer]
	if !ok {
		return
	}
	band.charge(account, -unused)
	account.running--
	band.settle(account)
}

// share returns the slots that a customer's weight entitles it to.
func (band *band) share(account *account, slots int) float64 {
	return float64(slots) * account.weight / max(band.weights, account.weight)
}

// next returns the entry that runs next, or nil. Without long, long work is left out.
func (band *band) next(now clock.Millis, long bool) *entry {
	if overdue, ok := band.due.top(); ok && overdue.due <= now && (long || !overdue.long) {
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
