package codec_test

import (
	"testing"

	"github.com/hibiscuslug/hibiscuslug/pkg/codec"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// FuzzUnmarshal guards against frames of a peer that crash the receiver, and
// against decoded messages that cannot be encoded again at their announced size.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []codec.Message{
		&wire.Attempt{RequestId: "entry1-1", Attempt: 1, Body: []byte("{}")},
		&wire.Announcement{Node: "endpoint1", Engines: []*wire.EngineInfo{{Name: "engine1"}}},
		&wire.PeerMessage{Type: wire.PeerMessage_TYPE_APPEND, Entries: []*wire.Entry{{Index: 1}}},
	} {
		frame, err := codec.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, message := range []codec.Message{
			&wire.Attempt{}, &wire.Answer{}, &wire.Announcement{}, &wire.Digest{}, &wire.FeedItem{},
			&wire.Command{}, &wire.ClaimOp{}, &wire.PeerMessage{}, &wire.Image{},
		} {
			if codec.Unmarshal(frame, message) != nil {
				continue
			}
			again, err := codec.Marshal(message)
			if err != nil {
				t.Fatalf("%T was decoded but cannot be encoded: %v", message, err)
			}
			if len(again) != message.SizeVT() {
				t.Fatalf("%T encodes to %d bytes, SizeVT is %d", message, len(again), message.SizeVT())
			}
		}
	})
}
