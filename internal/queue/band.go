package queue

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// band schedules the work of one tier and priority by weighted fair queueing. The
// customer with the fewest running slots per weight goes next; ties go to the
// lowest virtual time, which advances with the work charged to the customer. Of
// the short and the long flow that lead, the one with the lower virtual finish
// time runs. Since that grows with size, long work comes later but is not starved.
type band struct {
	tier        wire.Tier
	priority    int32
	virtualTime float64
	accounts    map[string]*account
	short       indexedHeap[*flow]
	long        indexedHeap[*flow]
	// due orders the long and the paused entries by the time from which they take precedence.
	due     indexedHeap[*entry]
	waiting int
	// active is the number of customers with waiting or running work, and weights
	// the sum of their weights.
	active  int
	weights float64
}

// account is a customer's share of a band and its waiting work there.
type account struct {
	name        string
	weight      float64
	virtualTime float64
	short       flow
	long        flow
	running     int
	active      bool
}

// flow is a customer's waiting work of one size class, short or long.
type flow struct {
	account *account
	entries indexedHeap[*entry]
	index   int
}

func newBand(tier wire.Tier, priority int32) *band {
	flows := func() indexedHeap[*flow] {
		return indexedHeap[*flow]{
			less:  func(first, second *flow) bool { return first.account.before(second.account) },
			index: func(flow *flow) *int { return &flow.index },
		}
	}
	return &band{
		tier: tier, priority: priority, accounts: map[string]*account{}, short: flows(), long: flows(),
		due: indexedHeap[*entry]{
			less:  func(first, second *entry) bool { return first.due < second.due },
			index: func(entry *entry) *int { return &entry.dueIndex },
		},
	}
}

func newFlow(owner *account) flow {
	return flow{account: owner, index: notInHeap, entries: indexedHeap[*entry]{
		less: func(first, second *entry) bool {
			if first.orderKey != second.orderKey {
				return first.orderKey < second.orderKey
			}
			return first.sequence < second.sequence
		},
		index: func(entry *entry) *int { return &entry.flowIndex },
	}}
}

// before reports whether a customer goes before another: the one with fewer
// running slots per weight, or else the one with the lower virtual time.
func (account *account) before(other *account) bool {
	left, right := float64(account.running)*other.weight, float64(other.running)*account.weight
	if left != right {
		return left < right
	}
	if account.virtualTime != other.virtualTime {
		return account.virtualTime < other.virtualTime
	}
	return account.name < other.name
}

// finishTime returns the virtual time at which the flow's first entry would finish.
func (flow *flow) finishTime() float64 {
	head, ok := flow.entries.top()
	if !ok {
		return flow.account.virtualTime
	}
	return flow.account.virtualTime + float64(head.remaining())/flow.account.weight
}

// before reports whether the band goes before the band of a tier and priority.
func (band *band) before(tier wire.Tier, priority int32) bool {
	if band.tier != tier {
		return band.tier < tier
	}
	return band.priority > priority
}

// account returns a customer's account, creating it if needed. An idle customer
// starts at the band's virtual time, so that idle time earns no credit.
func (band *band) account(customer string, weight uint32) *account {
	owner, ok := band.accounts[customer]
	if !ok {
		owner = &account{name: customer, virtualTime: band.virtualTime}
		owner.short, owner.long = newFlow(owner), newFlow(owner)
		band.accounts[customer] = owner
	}
	if !owner.active {
		owner.weight = float64(max(weight, 1))
		owner.virtualTime = max(owner.virtualTime, band.virtualTime)
		owner.active = true
		band.active++
		band.weights += owner.weight
	}
	return owner
}

// removeIfIdle marks a customer without work as inactive. Its account is deleted once
// it no longer affects the order.
func (band *band) removeIfIdle(account *account) {
	if account.running > 0 || account.short.entries.Len() > 0 || account.long.entries.Len() > 0 {
		return
	}
	if account.active {
		account.active = false
		band.active--
		band.weights -= account.weight
	}
	if account.virtualTime <= band.virtualTime || band.waiting == 0 {
		delete(band.accounts, account.name)
	}
}

// flowOf returns the flow that an entry belongs to and the heap of such flows.
func (band *band) flowOf(entry *entry, account *account) (*flow, *indexedHeap[*flow]) {
	if entry.long {
		return &account.long, &band.long
	}
	return &account.short, &band.short
}

func (band *band) push(entry *entry) {
	account := band.account(entry.Customer, entry.Weight)
	flow, flows := band.flowOf(entry, account)
	flow.entries.add(entry)
	if flow.index == notInHeap {
		flows.add(flow)
	} else {
		flows.fix(flow)
	}
	if entry.long || entry.wasStarted {
		band.due.add(entry)
	}
	band.waiting++
}

func (band *band) remove(entry *entry) {
	account := band.accounts[entry.Customer]
	flow, flows := band.flowOf(entry, account)
	flow.entries.remove(entry)
	if flow.entries.Len() == 0 {
		flows.remove(flow)
	} else {
		flows.fix(flow)
	}
	band.due.remove(entry)
	band.waiting--
	band.removeIfIdle(account)
}

// take removes an entry that is about to run and charges its customer for the
// predicted events.
func (band *band) take(entry *entry) {
	account := band.accounts[entry.Customer]
	band.virtualTime = max(band.virtualTime, account.virtualTime)
	account.running++
	band.remove(entry)
	entry.charged = entry.remaining()
	band.charge(account, float64(entry.charged))
}

// charge advances a customer's virtual time by a number of events. A refund is
// negative and goes no further back than the band's virtual time, so that it
// gives no precedence over customers that used less.
func (band *band) charge(account *account, events float64) {
	account.virtualTime = max(account.virtualTime+events/account.weight, min(account.virtualTime, band.virtualTime))
	band.short.fix(&account.short)
	band.long.fix(&account.long)
}

// release removes a running entry from its customer's account and refunds the
// unused events.
func (band *band) release(entry *entry, unused float64) {
	account, ok := band.accounts[entry.Customer]
	if !ok {
		return
	}
	account.running--
	band.charge(account, -unused)
	band.removeIfIdle(account)
}

// share returns the number of slots that a customer's weight entitles it to.
func (band *band) share(account *account, slots int) float64 {
	return float64(slots) * account.weight / max(band.weights, account.weight)
}

// next returns the entry that runs next, or nil. It skips long work unless allowLong is set.
func (band *band) next(now clock.Millis, slots int, allowLong bool) *entry {
	if overdue := band.overdue(now, slots); overdue != nil && (allowLong || !overdue.long) {
		return overdue
	}
	shortFlow, hasShort := band.short.top()
	longFlow, hasLong := band.long.top()
	hasLong = hasLong && allowLong
	switch {
	case hasShort && (!hasLong || shortFlow.finishTime() <= longFlow.finishTime()):
		head, _ := shortFlow.entries.top()
		return head
	case hasLong:
		head, _ := longFlow.entries.top()
		return head
	}
	return nil
}

// overdue returns the first entry whose due time has passed, or nil. A customer
// that already uses its share of the slots gets no precedence, since its own work
// takes the slots that it is entitled to.
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

// displaceable returns an entry to displace, or nil: one that has never started, of
// the customer with the most waiting entries.
func (band *band) displaceable() *entry {
	var largest *account
	for _, account := range band.accounts {
		if largest == nil || account.waiting() > largest.waiting() ||
			(account.waiting() == largest.waiting() && account.name < largest.name) {
			largest = account
		}
	}
	if largest == nil {
		return nil
	}
	for _, flow := range []*flow{&largest.long, &largest.short} {
		// The last element of a heap's slice is a leaf and so one of its later entries.
		for at := flow.entries.Len() - 1; at >= 0; at-- {
			if !flow.entries.list[at].wasStarted {
				return flow.entries.list[at]
			}
		}
	}
	return nil
}

func (account *account) waiting() int {
	return account.short.entries.Len() + account.long.entries.Len()
}
