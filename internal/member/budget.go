package member

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
)

const (
	// briefBytes is the size of a brief announcement of one engine with its
	// reply and drpc's frames, in bytes.
	briefBytes = 170
	// announceBytesPerSecond is the bandwidth that an entry VM spends on
	// announcements. An entry VM may use 3 KB/s for membership and configuration;
	// the rest is for exchanges with peers and for configuration.
	announceBytesPerSecond = 1800
	// exchangeBytes is the size of one peer's brief record in an exchange, in
	// bytes.
	exchangeBytes = 80
	// exchangeBytesPerSecond is the bandwidth that an entry VM spends on
	// exchanges with peers.
	exchangeBytesPerSecond = 800
	// lifetimeIntervals is the lifetime of an announcement in announcement
	// intervals, and so the number of announcements that may be lost before a
	// node expires.
	lifetimeIntervals = 3
	// gossipRounds is how many exchanges a record may take to reach all peers;
	// at 40 entry VMs in a region about log2(40)+3 rounds are needed.
	gossipRounds = 9
)

// AnnounceInterval returns the time between announcements that keeps an entry
// VM with the given number of announcers within its budget.
func AnnounceInterval(announcers int) clock.Millis {
	return max(clock.Second, clock.Millis(announcers*briefBytes*1000/announceBytesPerSecond))
}

// ExchangeInterval returns the time between exchanges of an entry VM with the
// given number of peers. An exchange carries every record in both directions.
func ExchangeInterval(peers int) clock.Millis {
	return max(clock.Second, clock.Millis(2*peers*exchangeBytes*1000/exchangeBytesPerSecond))
}

// firstExchangePause is the delay between the first exchanges of an entry VM,
// and firstExchanges is their number. They are more frequent so that the peers
// learn of a new entry VM soon.
const (
	firstExchangePause = 200 * clock.Millis(1)
	firstExchanges     = 5
)

// ExchangePause returns the delay after an exchange of an entry VM that has done
// the given number of exchanges since it started.
func ExchangePause(done, peers int) clock.Millis {
	if done < firstExchanges {
		return firstExchangePause
	}
	return ExchangeInterval(peers)
}

// PeerLifetime returns the time after which the record of an entry VM expires
// without a later one.
func PeerLifetime(peers int) clock.Millis {
	return gossipRounds * ExchangeInterval(peers)
}
