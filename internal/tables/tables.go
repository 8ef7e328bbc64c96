// Package tables formats records as the tables of show commands. The columns of
// each kind are declared in package query.
package tables

import (
	"strings"

	"github.com/hibiscuslug/hibiscuslug/internal/state"
	"github.com/hibiscuslug/hibiscuslug/pkg/clock"
	"github.com/hibiscuslug/hibiscuslug/pkg/query"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// View is a process's view of the configuration.
type View interface {
	State() *state.State
	// Recent returns the latest changes, oldest first.
	Recent() []*wire.Numbered
}

// Config returns the table of a kind of configuration record, and reports whether
// the kind is part of the configuration.
func Config(what string, view View, now clock.Millis) (*wire.Table, bool) {
	config := view.State()
	switch what {
	case "customers":
		return customers(config), true
	case "tiers":
		return tiers(config), true
	case "rules":
		return rules(config), true
	case "groups":
		return groups(config), true
	case "blocks":
		return blocks(config), true
	case "config":
		return changes(view, now), true
	}
	return nil, false
}

// New returns an empty table of a kind.
func New(what string) *wire.Table {
	kind, _ := query.KindOf(what)
	return kind.Table()
}

// Add appends a row.
func Add(table *wire.Table, cells ...string) {
	table.Rows = append(table.Rows, &wire.Row{Cells: cells})
}

// Word returns the last word of an enumeration value in lower case, which is how
// tables show it, or "" for an unspecified value.
func Word(value interface{ String() string }) string {
	name := value.String()
	word := strings.ToLower(name[strings.LastIndex(name, "_")+1:])
	if word == "unspecified" {
		return ""
	}
	return word
}

func customers(config *state.State) *wire.Table {
	table := New("customers")
	for _, customer := range config.Customers() {
		Add(table, customer.GetName(), customer.GetTier(), query.Number(customer.GetPriority()),
			query.Number(customer.GetWeight()), query.Number(customer.GetMaxConcurrent()))
	}
	return table
}

func tiers(config *state.State) *wire.Table {
	table := New("tiers")
	for _, tier := range config.Tiers() {
		Add(table, tier.GetName(), Word(tier.GetLevel()), query.Number(tier.GetPriority()), clock.Millis(tier.GetPatience()).String())
	}
	return table
}

func rules(config *state.State) *wire.Table {
	table := New("rules")
	for _, rule := range config.Rules() {
		Add(table, rule.GetName(), query.Number(rule.GetOrder()), rule.GetPathPrefix(), rule.GetCustomer(), rule.GetModel(),
			rule.GetMethod(), Word(rule.GetKind()), rule.GetService(), choice(rule.GetNonIdempotent(), "never", "safe"),
			choice(rule.GetKeyOptional(), "optional", "required"), query.Number(rule.GetBoost()), query.Number(rule.GetSize()))
	}
	return table
}

func choice(set bool, yes, no string) string {
	if set {
		return yes
	}
	return no
}

func groups(config *state.State) *wire.Table {
	table := New("groups")
	for _, group := range config.Groups() {
		Add(table, group.GetName(), query.Number(group.GetEpoch()), query.Number(group.GetRanks()),
			query.Number(group.GetExperts()), query.Number(group.GetStep()))
	}
	return table
}

func blocks(config *state.State) *wire.Table {
	table := New("blocks")
	for _, block := range config.Blocks() {
		Add(table, block.GetRequestId(), block.GetCustomer(), query.Number(block.GetCrashes()), query.Time(clock.Millis(block.GetUntil())))
	}
	return table
}

// changes lists the latest changes, newest first. If the change of the current
// revision is not available, as after a snapshot, the first row has only the
// revision.
func changes(view View, now clock.Millis) *wire.Table {
	table := New("config")
	recent, revision := view.Recent(), view.State().Revision()
	if len(recent) == 0 || recent[len(recent)-1].GetRevision() != revision {
		Add(table, query.Number(revision), "", "", "", "")
	}
	for at := len(recent) - 1; at >= 0; at-- {
		change := recent[at].GetChange()
		made := clock.Millis(change.GetAt())
		Add(table, query.Number(recent[at].GetRevision()), query.Time(made), max(now-made, 0).String(),
			query.Redact(change.GetText()), change.GetCommandId())
	}
	return table
}

// never is a lower bound for the age of a revision that control never confirmed:
// its age counts from the Unix epoch.
const never = 10 * 365 * 24 * clock.Hour

// Node returns a row of show nodes. sinceAnnouncement is the age of the
// announcement.
func Node(node *wire.Announcement, sinceAnnouncement clock.Millis) []string {
	return []string{
		node.GetNode(), Word(node.GetRole()), node.GetZone(), node.GetAddress(), Word(node.GetState()),
		query.Number(node.GetRevision()), Age(clock.Millis(node.GetRevisionAge()) + sinceAnnouncement), sinceAnnouncement.String(),
	}
}

// Age returns the cell for the age of a revision, or "" if control never
// confirmed the revision.
func Age(age clock.Millis) string {
	if age > never {
		return ""
	}
	return age.String()
}

// Merge joins tables of a kind. Of rows with the same first cell it keeps the
// one with the smallest duration in the last column.
func Merge(what string, tables ...*wire.Table) *wire.Table {
	merged := New(what)
	indexes := map[string]int{}
	for _, table := range tables {
		merged.Truncated = merged.GetTruncated() || table.GetTruncated()
		for _, row := range table.GetRows() {
			if len(row.GetCells()) != len(merged.GetColumns()) {
				continue
			}
			index, ok := indexes[row.GetCells()[0]]
			if !ok {
				indexes[row.GetCells()[0]] = len(merged.GetRows())
				merged.Rows = append(merged.Rows, row)
				continue
			}
			if fresher(row, merged.GetRows()[index]) {
				merged.Rows[index] = row
			}
		}
	}
	return merged
}

func fresher(row, other *wire.Row) bool {
	last := len(row.GetCells()) - 1
	return query.Less(wire.ColumnType_COLUMN_TYPE_DURATION, row.GetCells()[last], other.GetCells()[last])
}
