// Package event writes numbered log events. The catalogue in docs/EVENTS.md
// lists every number with the action for the operator; a test compares the two.
package event

import (
	"io"

	"github.com/go-kit/log"
)

// Event is a numbered kind of log record.
type Event struct {
	Number  int
	Message string
}

// Events, by subsystem: 1xx process, 2xx requests, 3xx membership,
// 4xx configuration and control, 5xx engines, 6xx expert maps and models.
var (
	Started            = Event{101, "process started"}
	Stopping           = Event{102, "process is shutting down"}
	Stopped            = Event{103, "process stopped"}
	ShutdownLimit      = Event{104, "shutdown limit reached with requests in flight"}
	ServeFailed        = Event{105, "listener failed"}
	LinesDropped       = Event{106, "log lines dropped"}
	AcceptFailed       = Event{107, "connection could not be accepted"}
	BoundReached       = Event{108, "clients are refused or disconnected at a bound"}
	BoundKept          = Event{109, "clients are no longer refused or disconnected at a bound"}
	AttemptFailed      = Event{201, "attempt failed"}
	AttemptSilent      = Event{202, "connection made no progress"}
	AnswerNotRecorded  = Event{210, "answer of non-idempotent work could not be recorded in time"}
	WorkLost           = Event{211, "outcome of non-idempotent work is not known"}
	AttemptRaced       = Event{220, "slow attempt is raced by another"}
	CrashSuspected     = Event{221, "endpoint crashed with requests running"}
	RequestBlocked     = Event{222, "request blocked for crashing endpoints"}
	BlockNotAccepted   = Event{223, "block could not be put into the configuration"}
	BlockRecorded      = Event{224, "block for crashes put into the configuration"}
	AttemptRefused     = Event{230, "attempt refused by the queue"}
	OrderFailed        = Event{231, "order to an engine failed"}
	RequestRefused     = Event{232, "request refused at admission"}
	RequestEnded       = Event{240, "request ended"}
	SendEnded          = Event{241, "attempt at an endpoint ended"}
	RequestHeld        = Event{242, "request waited at the gateway"}
	RequestSuspected   = Event{243, "request kept from endpoints because it may crash them"}
	ProbeFailed        = Event{244, "control leader could not be asked for a probe"}
	PermitFailed       = Event{245, "control leader could not be asked for a permit"}
	RequestOverLimit   = Event{246, "request kept from endpoints that are at their limits"}
	RequestsOverCold   = Event{247, "requests kept from cold endpoints"}
	RequestPaused      = Event{248, "request kept from endpoints that ask for a pause"}
	RequestTooMuch     = Event{249, "request refused because of the bytes held"}
	EndpointJoined     = Event{301, "endpoint announced itself"}
	EndpointExpired    = Event{302, "endpoint's announcement expired"}
	EndpointLeaving    = Event{303, "endpoint is leaving"}
	AnnounceFailed     = Event{304, "announcement failed"}
	ReadinessChanged   = Event{305, "readiness changed"}
	EndpointChanged    = Event{306, "endpoint changed"}
	GroupSilent        = Event{307, "no stream of a group makes progress"}
	LimitChanged       = Event{308, "limit that an endpoint names changed"}
	LeavingNoticed     = Event{309, "endpoint states that it leaves"}
	PauseNoticed       = Event{310, "endpoint asks for a pause"}
	EndpointCold       = Event{311, "endpoint is cold"}
	EndpointWarm       = Event{312, "endpoint is no longer cold"}
	EstimateChanged    = Event{313, "estimate of an endpoint changed"}
	CopiesMissing      = Event{314, "end of an endpoint without copies at other control VMs"}
	PaceNoticed        = Event{315, "endpoint is slower than usual or no longer so"}
	RevisionApplied    = Event{401, "configuration revision applied"}
	RevisionRefused    = Event{402, "configuration revision refused"}
	FeedLost           = Event{403, "configuration feed lost"}
	ProposalFailed     = Event{404, "change could not be accepted"}
	RoleChanged        = Event{405, "control VM changed its role"}
	DiskRefused        = Event{406, "data folder takes no writes"}
	DiskRecovered      = Event{407, "data folder takes writes again"}
	TailCut            = Event{408, "damaged end of the log was cut"}
	MembersChanged     = Event{409, "members of the control group changed"}
	SnapshotWritten    = Event{410, "snapshot made"}
	SnapshotInstalled  = Event{411, "snapshot from the leader installed"}
	FeedRegained       = Event{412, "configuration feed regained"}
	SettingsReloaded   = Event{413, "settings file read again"}
	SettingsRefused    = Event{414, "settings file could not be used"}
	DeploymentAccepted = Event{415, "configuration of request forwarding accepted"}
	DeploymentRefused  = Event{416, "configuration of request forwarding not accepted"}
	DeploymentInForce  = Event{417, "configuration of request forwarding in force"}
	SettingWithdrawn   = Event{418, "value of the settings file replaced by the default"}
	ControlForgotten   = Event{419, "control VMs forgotten that no process hears from"}
	EvacuationAccepted = Event{420, "evacuation of a zone accepted"}
	EvacuationFailed   = Event{421, "evacuation of a zone not accepted"}
	EvacuationHeld     = Event{422, "all gateways know of the evacuation of a zone"}
	EvacuationLate     = Event{423, "gateways do not know of the evacuation of a zone"}
	MembersProposed    = Event{424, "change of the control group's members proposed"}
	SnapshotRefused    = Event{425, "snapshot could not be written"}
	EngineUnreachable  = Event{501, "engine does not answer"}
	InstructionRefused = Event{502, "instruction with an old fencing number refused"}
	RankOrdered        = Event{601, "order to a rank's engine"}
	MapWanted          = Event{602, "expert map planned"}
	MapInForce         = Event{603, "expert map in force"}
	GroupUnread        = Event{604, "ranks of a group cannot all be read"}
	GroupRead          = Event{605, "ranks of a group can all be read again"}
	HoldEnded          = Event{606, "hold of a group ended without an agent"}
	RankUnread         = Event{607, "engine cannot be read after an order"}
	RankSlow           = Event{608, "rank slows its group"}
	RankNotSlow        = Event{609, "rank is no longer slow"}
	PopularityShifted  = Event{610, "popularity of experts has shifted"}
)

// Log writes the events of one process.
type Log struct {
	logger log.Logger
	// queue is nil for a log that writes synchronously and without a rate limit.
	queue *lineQueue
}

// New returns a log that writes logfmt lines.
func New(out io.Writer, node, zone string) *Log {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	logger = log.With(logger, "time", log.DefaultTimestampUTC, "node", node, "zone", zone)
	return &Log{logger: logger}
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return &Log{logger: log.NewNopLogger()}
}

// Write writes an event with its attributes, given as pairs of name and value.
func (sink *Log) Write(kind Event, attributes ...any) {
	if sink.queue != nil && !sink.queue.admit(kind) {
		return
	}
	pairs := append([]any{"event", kind.Number, "message", kind.Message}, attributes...)
	// There is no other place to report a failed write of the log.
	_ = sink.logger.Log(pairs...)
}
