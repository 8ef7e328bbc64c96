package ctrl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/evac"
	"github.com/hibiscuslug/hibiscuslug/internal/event"
	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/internal/tables"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// spreadInterval is the time between checks of how far orders about zones have spread.
const spreadInterval = 100 * clock.Millis(1)

// Evacuate stores durably that the endpoints of a zone get no requests, or with active
// unset that they do again. The error is a state.RefusedError if the zone is not known;
// after any other error the order may be sent again.
func (control *Control) Evacuate(ctx context.Context, zone string, active bool) error {
	if err := control.checkZone(zone); err != nil {
		return err
	}
	if err := control.order(ctx, zone, active); err != nil {
		control.log.Write(event.EvacuationFailed, "zone", zone, "active", active, "error", err)
		return err
	}
	return nil
}

// order makes an order for the zone's record as of a time after the call began, so that
// an order that is delayed on its way does not undo a later one.
func (control *Control) order(ctx context.Context, zone string, active bool) error {
	if err := control.confirm(ctx); err != nil {
		return err
	}
	record, _ := control.view.State().Evacuation(zone)
	if record.GetActive() == active {
		return nil
	}
	// A caller that has given up has sent the order to another control VM, and may have
	// been followed by one with the opposite order.
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "the caller has disconnected")
	}
	// The id is the same for each caller with this order for this record, so that the
	// leader applies it once.
	reply, err := control.Execute(ctx, &wire.Command{
		Id: fmt.Sprintf("%s-zone-%s-%d", orderWord(active), zone, record.GetRevision()),
		Change: &wire.Change{Body: &wire.Change_Evacuation{
			Evacuation: &wire.Evacuation{Zone: zone, Active: active, After: record.GetRevision()},
		}},
	})
	if err != nil {
		return err
	}
	if reply.GetCode() != "" {
		return errors.Newf("%s: %s", reply.GetCode(), reply.GetError())
	}
	control.log.Write(event.EvacuationAccepted, "zone", zone, "active", active, "revision", reply.GetRevision())
	return nil
}

// orderWord returns the verb of an order in the command language.
func orderWord(active bool) string {
	if active {
		return "evacuate"
	}
	return "restore"
}

// checkZone returns a RefusedError if no zone with this name can be evacuated. A zone
// about which an order was accepted is known, so that it can be restored after the
// settings have changed.
func (control *Control) checkZone(zone string) error {
	if err := state.CheckZone(zone); err != nil {
		return err
	}
	known := control.settings.Control.KnownZone
	if _, isRecorded := control.view.State().Evacuation(zone); isRecorded || len(known) == 0 || slices.Contains(known, zone) {
		return nil
	}
	return &state.RefusedError{Code: state.CodeNotFound, Message: fmt.Sprintf("there is no zone %s; known are %s", zone, strings.Join(known, ", "))}
}

// watchSpread logs how far the orders about zones have spread while this VM leads.
func (control *Control) watchSpread(ctx context.Context) {
	for control.clock.Sleep(ctx, spreadInterval) == nil {
		orders := control.view.State().Evacuations()
		if len(orders) == 0 || !control.IsLeader() {
			continue
		}
		control.reportsMu.Lock()
		actions := control.spread.Check(orders, control.clock.Now())
		control.reportsMu.Unlock()
		for _, action := range actions {
			control.logSpread(action)
		}
	}
}

func (control *Control) logSpread(action evac.Action) {
	switch action := action.(type) {
	case evac.Held:
		control.log.Write(event.EvacuationHeld, "zone", action.Order.GetZone(), "active", action.Order.GetActive(),
			"revision", action.Order.GetRevision(), "gateways", action.Gateways, "took", action.Took)
	case evac.Late:
		control.log.Write(event.EvacuationLate, "zone", action.Order.GetZone(), "active", action.Order.GetActive(),
			"revision", action.Order.GetRevision(), "missing", strings.Join(action.Missing, ","), "age", action.Age)
	}
}

// zones returns the table of the zones that have been evacuated or may be.
func (control *Control) zones() *wire.Table {
	config, now := control.view.State(), control.clock.Now()
	rows := map[string][]string{}
	for _, zone := range control.settings.Control.KnownZone {
		rows[zone] = control.zone(&wire.Evacuation{Zone: zone}, now)
	}
	for _, record := range config.Evacuations() {
		rows[record.GetZone()] = control.zone(record, now)
	}
	table := tables.New("zones")
	for _, zone := range slices.Sorted(maps.Keys(rows)) {
		tables.Add(table, rows[zone]...)
	}
	return table
}

func (control *Control) zone(record *wire.Evacuation, now clock.Millis) []string {
	evacuated, since := "no", ""
	if record.GetActive() {
		evacuated = "yes"
	}
	if record.GetRevision() > 0 {
		since = query.Time(clock.Millis(record.GetAt()))
	}
	control.reportsMu.Lock()
	holding, missing := control.spread.Holders(record.GetRevision(), now)
	control.reportsMu.Unlock()
	return []string{record.GetZone(), evacuated, since, query.Number(record.GetRevision()), query.Number(holding), strings.Join(missing, ",")}
}
