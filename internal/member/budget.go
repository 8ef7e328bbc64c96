package member

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// briefBytes is the size of a brief announcement of one engine with its
	// reply and drpc's frames, in bytes.
	briefBytes = 170
	// announceBudget is what an entry VM spends on announcements, in bytes a
	// second; the rest of the 3 KB/s goes to peers and configuration.
	announceBudget = 1800
	// exchangeBytes is the size of one peer's brief record in an exchange.
	exchangeBytes = 80
	// exchangeBudget is what an entry VM spends on exchanges with peers.
	exchangeBudget = 800
	// lifetimes is how many announcements may be lost before a node expires.
	lifetimes = 3
	// gossipRounds is how many exchanges a record may take to reach all peers;
	// at 40 entry VMs in a region about log2(40)+3 rounds are needed.
	gossipRounds = 9
)

// AnnounceInterval returns the wait between announcements that keeps an entry
// VM with a number of announcers within its budget.
func AnnounceInterval(announcers int) clock.Millis {
	return max(clock.Second, clock.Millis(announcers*briefBytes*1000/announceBudget))
}

// ExchangeInterval returns the wait between exchanges of an entry VM that
// knows a number of peers. An exchange carries every record both ways.
func ExchangeInterval(peers int) clock.Millis {
	return max(clock.Second, clock.Millis(2*peers*exchangeBytes*1000/exchangeBudget))
}

// exchangeFirst is the wait between the first exchanges of an entry VM, and
// firstExchanges their number: a new entry VM has to be known soon.
const (
	exchangeFirst  = 200 * clock.Millis(1)
	firstExchanges = 5
)

// ExchangePause returns the wait after an exchange, counted from the start.
func ExchangePause(done, peers int) clock.Millis {
	if done < firstExchanges {
		return exchangeFirst
	}
	return ExchangeInterval(peers)
}

// PeerLifetime returns how long a record of an entry VM lives without news.
func PeerLifetime(peers int) clock.Millis {
	return gossipRounds * ExchangeInterval(peers)
}
