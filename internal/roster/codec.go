package roster

import (
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// coldUnstated is the remaining time of an endpoint that did not state it. Processes of
// earlier versions take it for an endpoint that is not cold.
const coldUnstated = -1 * clock.Millis(1)

// Message encodes a record. Times are encoded relative to now, since the clocks of
// sender and receiver differ.
func (record Record) Message(now clock.Millis) *wire.EndpointRecord {
	cold := max(record.ColdUntil-now, 0)
	if record.ColdUnstated {
		cold = coldUnstated
	}
	return &wire.EndpointRecord{
		Id: record.ID, Service: record.Service, Address: record.Address, Zone: record.Zone,
		Born: int64(record.Born), Sequence: record.Sequence, Draining: record.Draining, Gone: record.Gone, EndedAt: int64(record.EndedAt),
		Slots: uint32(max(record.Slots, 0)), Age: int64(now - record.ReceivedAt),
		Group: record.Group.Name, Epoch: record.Group.Epoch, Rank: uint32(max(record.Group.Rank, 0)),
		Size: uint32(max(record.Group.Size, 0)), Broken: record.Group.Broken, Cold: int64(cold),
	}
}

// FromMessage decodes a record. The relative times of the message refer to sent, a
// time by the receiver's clock.
func FromMessage(message *wire.EndpointRecord, sent clock.Millis) Record {
	return Record{
		ID: message.GetId(), Service: message.GetService(), Address: message.GetAddress(), Zone: message.GetZone(),
		Born: clock.Millis(message.GetBorn()), Sequence: message.GetSequence(), Draining: message.GetDraining(), Gone: message.GetGone(),
		EndedAt: clock.Millis(message.GetEndedAt()),
		Slots:   int(message.GetSlots()), ReceivedAt: sent - clock.Millis(message.GetAge()), ColdUntil: sent + max(clock.Millis(message.GetCold()), 0),
		ColdUnstated: message.GetCold() < 0,
		Group: Group{
			Name: message.GetGroup(), Epoch: message.GetEpoch(), Rank: int(message.GetRank()), Size: int(message.GetSize()), Broken: message.GetBroken(),
		},
	}
}
