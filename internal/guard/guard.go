// Package guard bounds the memory and the connections that a process spends on clients.
// Its listeners count what each connection makes the process hold, by its cost once
// parsed, before a server gets to see it. Package evict decides which connections are
// closed when a bound is reached.
package guard

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/evict"
	"github.com/hibiscuslug/hibiscuslug/internal/holds"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// connCost is what one connection costs besides what it sends, in bytes: the stack of
	// its goroutine and the buffers of its server.
	connCost = 20 << 10
	// calmTime is the time without a refusal after which a bound counts as kept again.
	calmTime = 10 * clock.Second
	// calmCheck is the time between two looks at whether that time has passed.
	calmCheck = clock.Second
)

// Reasons of refusals, as in the log and in metrics.
const (
	reasonMemory      = "memory"
	reasonDescriptors = "descriptors"
)

// Settings bound what a process spends on clients; 0 for no bound.
type Settings struct {
	// Bytes is the memory that all connections may use together.
	Bytes int64
	// Descriptors is the number of descriptors that the process may open. Every listener gets
	// a part of it.
	Descriptors int
}

// Guard counts what the connections of a process hold.
type Guard struct {
	settings Settings
	clock    *clock.Clock
	log      *event.Log
	ctx      context.Context
	cancel   context.CancelFunc
	watching conc.WaitGroup

	// mu guards the fields below and those of the accounts. It is a leaf lock.
	mu       sync.Mutex
	accounts map[uint64]*Account
	// counts holds the number of accounts by listener.
	counts map[string]int
	lastID uint64
	// held counts the bytes of all accounts.
	held *holds.Budget
	// denials holds the bounds that were reached lately.
	denials map[denial]*pressure
	// denied counts the connections closed and refused since the start.
	denied map[string]int64
}

// denial is a bound that was reached.
type denial struct {
	listener, reason string
}

// pressure is what a bound that was reached has cost so far.
type pressure struct {
	lastAt          clock.Millis
	closed, refused int
}

// Account is what one connection makes the process hold.
type Account struct {
	guard    *Guard
	id       uint64
	listener string
	// close closes the connection.
	close func()
	// held is the number of bytes held, and peak the largest one since the current request
	// began.
	held, peak int64
	// request is the part of held that ends with the current request.
	request int64
	since   clock.Millis
	running bool
	closed  bool
}

// New returns a guard without connections.
func New(settings Settings, ticker *clock.Clock, log *event.Log) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		settings: settings, clock: ticker, log: log, ctx: ctx, cancel: cancel,
		accounts: map[uint64]*Account{}, counts: map[string]int{}, held: holds.New(settings.Bytes), denials: map[denial]*pressure{}, denied: map[string]int64{},
	}
}

// Close waits for the goroutines of the guard. Its listeners are closed by their servers.
func (guard *Guard) Close() {
	guard.cancel()
	guard.watching.Wait()
}

// Served logs the error with which the server of a listener ended; nil for none.
func (guard *Guard) Served(listener string, err error) {
	if err != nil && !errors.IsAny(err, net.ErrClosed, http.ErrServerClosed) {
		guard.log.Write(event.ServeFailed, "listener", listener, "error", err)
	}
}

// Held returns the number of bytes held.
func (guard *Guard) Held() int64 { return guard.held.Held() }

// Denied returns the number of connections closed and refused since the start, as
// LISTENER.REASON.
func (guard *Guard) Denied() map[string]int64 {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	counts := make(map[string]int64, len(guard.denied))
	for name, count := range guard.denied {
		counts[name] = count
	}
	return counts
}

// Open opens an account for work that belongs to no guarded connection. It counts as
// running.
func (guard *Guard) Open(name string) *Account {
	guard.mu.Lock()
	defer guard.mu.Unlock()
	account := guard.open(name, func() {})
	account.running = true
	return account
}

// open opens an account. The caller holds mu.
func (guard *Guard) open(listener string, shut func()) *Account {
	guard.lastID++
	account := &Account{guard: guard, id: guard.lastID, listener: listener, close: shut, since: guard.clock.Now()}
	guard.accounts[account.id] = account
	guard.counts[listener]++
	return account
}

// accept opens the account of a new connection, or returns nil if there is no room for
// one. Connections that make no progress give way.
func (guard *Guard) accept(listener string, limit int, shut func()) *Account {
	guard.mu.Lock()
	closing, ok := guard.makePlace(listener, limit)
	if !ok {
		guard.mu.Unlock()
		return nil
	}
	account := guard.open(listener, shut)
	guard.mu.Unlock()
	closeAll(closing)
	if !account.Take(connCost) {
		account.end()
		return nil
	}
	return account
}

// makePlace decides about a new connection. It returns the connections that are closed for
// it, and whether it may be accepted. The caller holds mu.
func (guard *Guard) makePlace(listener string, limit int) ([]*Account, bool) {
	if limit <= 0 || guard.counts[listener] < limit {
		return nil, true
	}
	decision := evict.Connection(evict.Limits{Connections: limit}, guard.holders(listener), guard.clock.Now())
	return guard.carryOut(decision, denial{listener, reasonDescriptors})
}

// holders lists the connections of a listener, or of all. The caller holds mu.
func (guard *Guard) holders(listener string) []evict.Holder {
	holders := make([]evict.Holder, 0, len(guard.accounts))
	for id, account := range guard.accounts {
		if listener == "" || account.listener == listener {
			holders = append(holders, evict.Holder{ID: id, Held: account.held, Peak: account.peak, Since: account.since, Running: account.running})
		}
	}
	return holders
}

// Context returns the context of a request on a connection, for From.
func Context(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, Of(accepted))
}

// From returns the account of the connection of a request, or nil.
func From(ctx context.Context) *Account {
	account, _ := ctx.Value(contextKey{}).(*Account)
	return account
}

type contextKey struct{}

// carryOut applies a decision to the accounts. It returns the accounts whose connections
// must be closed once mu is released, and whether what was asked for is granted. The
// caller holds mu.
func (guard *Guard) carryOut(decision evict.Decision, why denial) ([]*Account, bool) {
	switch decision := decision.(type) {
	case evict.Close:
		closing := make([]*Account, 0, len(decision.IDs))
		for _, id := range decision.IDs {
			closing = append(closing, guard.accounts[id])
			guard.remove(guard.accounts[id])
		}
		guard.deny(why, len(closing), 0)
		return closing, true
	case evict.Refuse:
		guard.deny(why, 0, 1)
		return nil, false
	}
	return nil, true
}

func closeAll(accounts []*Account) {
	for _, account := range accounts {
		account.close()
	}
}

// remove ends an account. The caller holds mu.
func (guard *Guard) remove(account *Account) {
	if account.closed {
		return
	}
	account.closed = true
	guard.held.Give(account.held)
	account.held, account.request = 0, 0
	delete(guard.accounts, account.id)
	guard.counts[account.listener]--
}

// deny counts connections that were closed or refused, and logs when that begins. The
// caller holds mu.
func (guard *Guard) deny(why denial, closed, refused int) {
	guard.denied[why.listener+"."+why.reason] += int64(closed + refused)
	current := guard.denials[why]
	if current == nil && guard.ctx.Err() != nil {
		// Nobody watches a guard that is closed.
		return
	}
	if current == nil {
		current = &pressure{}
		guard.denials[why] = current
		guard.log.Write(event.BoundReached, "listener", why.listener, "reason", why.reason, "held", guard.held.Held(), "bytes", guard.settings.Bytes,
			"connections", len(guard.accounts), "descriptors", guard.settings.Descriptors)
		guard.watching.Go(func() { guard.watch(why) })
	}
	current.lastAt = guard.clock.Now()
	current.closed += closed
	current.refused += refused
}

// watch logs the end of the time in which a bound is reached.
func (guard *Guard) watch(why denial) {
	for guard.clock.Sleep(guard.ctx, calmCheck) == nil {
		guard.mu.Lock()
		current := guard.denials[why]
		calm := guard.clock.Now()-current.lastAt >= calmTime
		if calm {
			delete(guard.denials, why)
			guard.log.Write(event.BoundKept, "listener", why.listener, "reason", why.reason, "closed", current.closed, "refused", current.refused,
				"held", guard.held.Held(), "connections", len(guard.accounts))
		}
		guard.mu.Unlock()
		if calm {
			return
		}
	}
}

// Take counts more bytes for the account and reports whether they may be held. If not, the
// count is unchanged.
func (account *Account) Take(more int64) bool {
	guard := account.guard
	guard.mu.Lock()
	closing, ok := guard.take(account, more)
	guard.mu.Unlock()
	closeAll(closing)
	return ok
}

// take counts more bytes for an account, for which others may have to be closed. The caller
// holds mu.
func (guard *Guard) take(account *Account, more int64) ([]*Account, bool) {
	if account.closed {
		return nil, false
	}
	var closing []*Account
	if limits := (evict.Limits{Bytes: guard.settings.Bytes}); limits.Bytes > 0 && guard.held.Held()+more > evict.Room(limits, max(account.held+more, account.peak)) {
		decision := evict.Bytes(limits, guard.holders(""), account.id, more, guard.clock.Now())
		var ok bool
		if closing, ok = guard.carryOut(decision, denial{account.listener, reasonMemory}); !ok {
			return nil, false
		}
	}
	if !guard.held.Take(more) {
		return closing, false
	}
	account.held += more
	account.peak = max(account.peak, account.held)
	return closing, true
}

// Give ends the count of bytes that were taken.
func (account *Account) Give(size int64) {
	guard := account.guard
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if account.closed {
		return
	}
	account.held -= size
	guard.held.Give(size)
}

// SetRequest sets the bytes held for the current request besides those of Take. It reports
// whether they may be held; if not, the count is unchanged.
func (account *Account) SetRequest(size int64) bool {
	account.guard.mu.Lock()
	return account.changeRequest(size - account.request)
}

// addRequest adds to the bytes of SetRequest.
func (account *Account) addRequest(more int64) bool {
	account.guard.mu.Lock()
	return account.changeRequest(more)
}

// changeRequest changes the bytes held for the current request. The caller holds mu, which
// is released.
func (account *Account) changeRequest(more int64) bool {
	guard := account.guard
	var closing []*Account
	ok := !account.closed
	switch {
	case ok && more > 0:
		closing, ok = guard.take(account, more)
	case ok:
		account.held += more
		guard.held.Give(-more)
	}
	if ok {
		account.request += more
	}
	guard.mu.Unlock()
	closeAll(closing)
	return ok
}

// Run states that a request arrived completely. From now on its connection is not closed
// to make room for others. It reports false if the connection was closed before.
func (account *Account) Run() bool {
	account.guard.mu.Lock()
	defer account.guard.mu.Unlock()
	account.running = true
	return !account.closed
}

// isRunning reports whether a request that arrived completely is processed.
func (account *Account) isRunning() bool {
	account.guard.mu.Lock()
	defer account.guard.mu.Unlock()
	return account.running
}

// progress states that the connection made progress.
func (account *Account) progress() {
	account.guard.mu.Lock()
	defer account.guard.mu.Unlock()
	account.since, account.peak = account.guard.clock.Now(), account.held
}

// rest states that a request was answered and nothing is kept of it.
func (account *Account) rest() {
	guard := account.guard
	guard.mu.Lock()
	defer guard.mu.Unlock()
	account.running, account.since = false, guard.clock.Now()
	if account.closed {
		return
	}
	account.held -= account.request
	guard.held.Give(account.request)
	account.request = 0
}

// end closes the account.
func (account *Account) end() {
	account.guard.mu.Lock()
	defer account.guard.mu.Unlock()
	account.guard.remove(account)
}
