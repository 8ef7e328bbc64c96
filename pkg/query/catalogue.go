package query

import (
	"slices"
	"strings"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Column is a column of a kind of record.
type Column struct {
	Name string
	Type wire.ColumnType
	Help string
}

// Kind is a kind of record that can be shown.
type Kind struct {
	Name    string
	Help    string
	Columns []Column
}

// Setter is a field that create and alter commands can set.
type Setter struct {
	Name string
	Type wire.ColumnType
	// Choices lists the allowed values; if empty, any value of the type is allowed.
	Choices []string
	Help    string
}

const (
	text     = wire.ColumnType_COLUMN_TYPE_TEXT
	number   = wire.ColumnType_COLUMN_TYPE_NUMBER
	duration = wire.ColumnType_COLUMN_TYPE_DURATION
	instant  = wire.ColumnType_COLUMN_TYPE_TIME
)

var kinds = []Kind{
	{"requests", "requests in flight and the latest finished ones, from every entry VM", []Column{
		{"id", text, "request id, as in X-Request-Id"},
		{"entry", text, "entry VM that took the request"},
		{"customer", text, "customer"},
		{"tier", text, "paid or free"},
		{"priority", number, "priority; a higher one goes first within its tier"},
		{"kind", text, "model, order or plain"},
		{"model", text, "model, or name of the service"},
		{"state", text, "waiting, running or done"},
		{"arrived", instant, "when the entry VM read the request"},
		{"age", duration, "time from arrival to the end, or until now"},
		{"waited", duration, "time at the entry VM and in the queues of the endpoint processes before an engine started it"},
		{"attempts", number, "attempts made"},
		{"endpoint", text, "endpoint of the latest attempt"},
		{"engine", text, "engine of the latest attempt"},
		{"outcome", text, "ok, notRun, unknown or failed; empty while in flight"},
		{"events", number, "stream events or pieces of the answer passed to the caller"},
		{"error", text, "reason of an outcome other than ok"},
	}},
	{"engines", "engines that entry VMs know", []Column{
		{"name", text, "engine"},
		{"kind", text, "model, order or plain"},
		{"endpoint", text, "endpoint process in front of it"},
		{"zone", text, "availability zone"},
		{"state", text, "serving, draining or leaving"},
		{"models", text, "models or service"},
		{"running", number, "attempts that run"},
		{"waiting", number, "attempts in the endpoint process's queue"},
		{"slots", number, "attempts that can run at once"},
		{"heard", duration, "time since the last announcement"},
	}},
	{"endpoints", "endpoint processes that entry VMs know", []Column{
		{"name", text, "endpoint process"},
		{"zone", text, "availability zone"},
		{"address", text, "IP:port"},
		{"state", text, "serving, draining or leaving, as the endpoint process announces it"},
		{"drained", text, "yes when the configuration keeps new work away"},
		{"engines", number, "engines behind it"},
		{"running", number, "attempts that run on its engines"},
		{"waiting", number, "attempts in its queues"},
		{"slots", number, "attempts that its engines can run at once"},
		{"heard", duration, "time since the last announcement"},
	}},
	{"customers", "customers; tokens are not shown", []Column{
		{"name", text, "customer"},
		{"tier", text, "tier"},
		{"priority", number, "added to the tier's priority"},
		{"weight", number, "share among the customers of a tier"},
		{"concurrent", number, "most requests in flight at an entry VM; 0 is no limit"},
	}},
	{"tiers", "tiers", []Column{
		{"name", text, "tier"},
		{"level", text, "paid or free"},
		{"priority", number, "priority of its requests"},
		{"patience", duration, "longest wait for the first event"},
	}},
	{"rules", "rules, in the order in which they are tried", []Column{
		{"name", text, "rule"},
		{"order", number, "rules are tried in ascending order"},
		{"path", text, "start of the path"},
		{"customer", text, "customer; empty for all"},
		{"model", text, "model; empty for all"},
		{"method", text, "HTTP method; empty for all"},
		{"kind", text, "kind that the request gets; empty keeps it"},
		{"service", text, "service that the request goes to; empty keeps it"},
		{"repeat", text, "safe, or never for non-idempotent work"},
		{"key", text, "required or optional: the Idempotency-Key of non-idempotent work"},
		{"boost", number, "added to the priority"},
		{"size", number, "predicted size in stream events; 0 leaves the prediction"},
	}},
	{"groups", "rank groups with their expert maps", []Column{
		{"name", text, "rank group"},
		{"epoch", number, "epoch of the expert map"},
		{"ranks", number, "ranks"},
		{"experts", number, "experts per layer"},
		{"step", number, "first step that runs with the map"},
	}},
	{"config", "latest changes of the configuration, newest first; the first row is the revision in force at the VM that answers", []Column{
		{"revision", number, "revision that the change made"},
		{"at", instant, "when a control VM took the command"},
		{"ago", duration, "time since then"},
		{"change", text, "text of the command, with tokens left out"},
		{"id", text, "command id"},
	}},
	{"nodes", "every process known: entry, endpoint and control", []Column{
		{"name", text, "process"},
		{"role", text, "entry, endpoint or control"},
		{"zone", text, "availability zone"},
		{"address", text, "IP:port"},
		{"state", text, "serving, draining or leaving; silent when it did not answer"},
		{"revision", number, "configuration revision in force there"},
		{"age", duration, "time since that revision was confirmed by control"},
		{"heard", duration, "time since the process was last heard of"},
	}},
	{"blocks", "requests that are refused because they crashed endpoints", []Column{
		{"request", text, "id of the request that was blocked"},
		{"customer", text, "customer"},
		{"crashes", number, "endpoints that it crashed"},
		{"until", instant, "end of the block"},
	}},
	{"zones", "availability zones that have been evacuated or may be", []Column{
		{"zone", text, "availability zone"},
		{"evacuated", text, "yes when its endpoints get no requests"},
		{"since", instant, "when the latest order about the zone was accepted"},
		{"revision", number, "configuration revision of that order; 0 without one"},
		{"gateways", number, "gateways that hold that revision, as the control VM that answers heard in the last minute"},
		{"missing", text, "gateways that do not hold it"},
	}},
	{"control", "control VMs", []Column{
		{"name", text, "control VM"},
		{"address", text, "IP:port"},
		{"disk", text, "id of its data folder"},
		{"role", text, "leader, follower, candidate or learner; unreachable when it does not answer"},
		{"term", number, "term of the leader that it knows"},
		{"index", number, "last entry of its log"},
		{"commit", number, "last entry known to be on a majority of disks"},
		{"revision", number, "configuration revision in force there"},
	}},
}

// explainKind describes the result of explain request.
var explainKind = Kind{"explain", "timeline of one request", []Column{
	{"step", text, "arrived, classified, waited, attempt N, queued, ran, or ended"},
	{"start", duration, "time since the arrival"},
	{"took", duration, "length of the step"},
	{"where", text, "entry VM, or endpoint and engine"},
	{"outcome", text, "ok, notRun, unknown or failed"},
	{"why", text, "reason of the step or error"},
}}

var setters = map[string][]Setter{
	"customer": {
		{"token", text, nil, "bearer token; only its hash is kept"},
		{"tier", text, nil, "name of the tier; paid when not given"},
		{"priority", number, nil, "added to the tier's priority"},
		{"weight", number, nil, "share among the customers of the tier; 1 when not given"},
		{"concurrent", number, nil, "most requests in flight at an entry VM; 0 is no limit"},
	},
	"tier": {
		{"level", text, []string{"paid", "free"}, "paid goes before free"},
		{"priority", number, nil, "priority of its requests"},
		{"patience", duration, nil, "longest wait for the first event; 1m when not given"},
	},
	"rule": {
		{"path", text, nil, "start of the path"},
		{"customer", text, nil, "customer"},
		{"model", text, nil, "model"},
		{"method", text, nil, "HTTP method"},
		{"kind", text, []string{"model", "order", "plain"}, "kind that the request gets"},
		{"service", text, nil, "service that the request goes to"},
		{"repeat", text, []string{"safe", "never"}, "never for non-idempotent work"},
		{"key", text, []string{"required", "optional"}, "whether non-idempotent work needs an Idempotency-Key"},
		{"boost", number, nil, "added to the priority"},
		{"size", number, nil, "predicted size in stream events"},
		{"order", number, nil, "rules are tried in ascending order"},
	},
}

// Kinds returns every kind of record that can be shown.
func Kinds() []Kind { return slices.Clone(kinds) }

// KindOf returns the kind of record with a name, which can also be explain.
func KindOf(name string) (Kind, bool) {
	if name == explainKind.Name {
		return explainKind, true
	}
	at := slices.IndexFunc(kinds, func(kind Kind) bool { return kind.Name == name })
	if at < 0 {
		return Kind{}, false
	}
	return kinds[at], true
}

// Setters returns the fields that create and alter commands can set on a
// customer, tier or rule.
func Setters(what string) []Setter { return slices.Clone(setters[what]) }

// Column returns the index and the definition of the column with a name.
func (kind Kind) Column(name string) (int, Column, bool) {
	at := slices.IndexFunc(kind.Columns, func(column Column) bool { return column.Name == name })
	if at < 0 {
		return 0, Column{}, false
	}
	return at, kind.Columns[at], true
}

// Table returns an empty table with the kind's columns.
func (kind Kind) Table() *wire.Table {
	table := &wire.Table{}
	for _, column := range kind.Columns {
		table.Columns = append(table.Columns, column.Name)
		table.Types = append(table.Types, column.Type)
	}
	return table
}

func (kind Kind) names() string {
	var names []string
	for _, column := range kind.Columns {
		names = append(names, column.Name)
	}
	return strings.Join(names, ", ")
}
