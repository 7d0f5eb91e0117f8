package events

import (
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Layer is a part of the system whose debug events can be enabled by name.
type Layer string

// Layers.
const (
	LayerDaemon  Layer = "daemon"
	LayerControl Layer = "control"
	LayerEntry   Layer = "entry"
	LayerWire    Layer = "wire"
)

// Event is one kind of log line.
type Event struct {
	number int
	level  zapcore.Level
	layer  Layer
	text   string
	// routine events report normal operation; their lines have a lower rate limit than those of failures.
	routine bool
}

// Number returns the event's number.
func (e Event) Number() int { return e.number }

// Text returns the event's text.
func (e Event) Text() string { return e.text }

// Level returns the level the event is logged at.
func (e Event) Level() zapcore.Level { return e.level }

// Layer returns the layer the event belongs to.
func (e Event) Layer() Layer { return e.layer }

// Events of the daemons.
var (
	Starting             = event(1001, zap.InfoLevel, LayerDaemon, "daemon starting")
	Ready                = event(1002, zap.InfoLevel, LayerDaemon, "ready for callers")
	Stopping             = event(1003, zap.InfoLevel, LayerDaemon, "stopping, no longer ready")
	Drained              = event(1004, zap.InfoLevel, LayerDaemon, "requests finished")
	DrainTimedOut        = event(1005, zap.WarnLevel, LayerDaemon, "drain bound reached with requests unfinished")
	Stopped              = event(1006, zap.InfoLevel, LayerDaemon, "daemon stopped")
	PlainText            = event(1007, zap.WarnLevel, LayerDaemon, "ports between daemons use plain text on loopback")
	Failed               = event(1008, zap.ErrorLevel, LayerDaemon, "daemon failed")
	Reloaded             = event(1009, zap.InfoLevel, LayerDaemon, "settings reloaded")
	ReloadRejected       = event(1010, zap.WarnLevel, LayerDaemon, "changed settings are invalid, the previous ones stay in force")
	MemoryPlanned        = event(1011, zap.InfoLevel, LayerDaemon, "memory planned")
	PeerRejected         = event(1101, zap.WarnLevel, LayerWire, "peer rejected")
	HTTPServerError      = event(1102, zap.WarnLevel, LayerWire, "HTTP server error")
	MemoryRefused        = event(1103, zap.WarnLevel, LayerWire, "request refused or connection closed for lack of memory or connections")
	RoleChanged          = event(2001, zap.InfoLevel, LayerControl, "role in the control group changed")
	Leading              = event(2002, zap.InfoLevel, LayerControl, "leading with a valid lease")
	SnapshotSaved        = event(2003, zap.InfoLevel, LayerControl, "snapshot saved")
	SnapshotInstalled    = event(2004, zap.InfoLevel, LayerControl, "snapshot installed from the leader")
	GroupJoined          = event(2005, zap.InfoLevel, LayerControl, "data folder joined a control group")
	MembersChanged       = event(2006, zap.InfoLevel, LayerControl, "membership of the control group changes")
	GroupBootstrapped    = event(2007, zap.InfoLevel, LayerControl, "control group bootstrapped")
	JoinRequested        = event(2008, zap.InfoLevel, LayerControl, "control host requests to join the control group")
	MemberReplaced       = event(2009, zap.WarnLevel, LayerControl, "member is replaced by another control host")
	DiskFailed           = event(2010, zap.ErrorLevel, LayerControl, "disk write failed, replica steps down")
	DiskRecovered        = event(2011, zap.InfoLevel, LayerControl, "disk is writable again")
	RedundancyChanged    = event(2012, zap.InfoLevel, LayerControl, "redundancy of the control group changed")
	UpstreamJoined       = event(2101, zap.InfoLevel, LayerControl, "upstream joined")
	UpstreamLost         = event(2102, zap.WarnLevel, LayerControl, "upstream lost its lease")
	AnnouncementRejected = event(2103, zap.WarnLevel, LayerControl, "announcement rejected")
	UpstreamEjected      = event(2104, zap.WarnLevel, LayerControl, "upstream ejected after failed requests, its slices are moved")
	HomeExcluded         = event(2105, zap.WarnLevel, LayerControl, "excluded home of an upstream changed")
	UpstreamLeaving      = event(2106, zap.InfoLevel, LayerControl, "upstream announced that it leaves")
	UpstreamReplaced     = event(2107, zap.InfoLevel, LayerControl, "upstreams replaced by a newer process")
	GrantsLimited        = event(2108, zap.WarnLevel, LayerControl, "grants do not fit in the response to an upstream")
	GrantsNotHeld        = event(2109, zap.WarnLevel, LayerControl, "upstream does not report the keys that it was granted")
	GrantsRefenced       = event(2110, zap.InfoLevel, LayerControl, "grants that an upstream does not report get new fencing tokens")
	EntryJoined          = event(2111, zap.InfoLevel, LayerControl, "entry host joined")
	EntryLost            = event(2112, zap.WarnLevel, LayerControl, "entry host lost its lease")
	ReleaseUnproven      = event(2113, zap.InfoLevel, LayerControl, "report does not prove that an upstream released slices")
	UpstreamCold         = event(2123, zap.InfoLevel, LayerControl, "upstream is cold")
	ConfigAccepted       = event(2201, zap.InfoLevel, LayerControl, "configuration accepted")
	ConfigRejected       = event(2202, zap.InfoLevel, LayerControl, "configuration rejected")
	ItemsPatched         = event(2203, zap.InfoLevel, LayerControl, "change of configuration items accepted or rejected")
	ChangeCommitted      = event(2204, zap.InfoLevel, LayerControl, "change committed")
	DataCentreEvacuated  = event(2205, zap.InfoLevel, LayerControl, "data centre taken out of service or back")
	SlicesPlanned        = event(2301, zap.DebugLevel, LayerControl, "slice operations proposed")
	ProposalFailed       = event(2302, zap.DebugLevel, LayerControl, "proposal failed")
	TableApplied         = event(3001, zap.DebugLevel, LayerEntry, "table version applied")
	TableRejected        = event(3002, zap.WarnLevel, LayerEntry, "table version rejected")
	ConfigInForce        = event(3003, zap.InfoLevel, LayerEntry, "configuration version in force")
	EvacuationsApplied   = event(3004, zap.InfoLevel, LayerEntry, "data centres out of service changed")
	ControlLost          = event(3101, zap.WarnLevel, LayerEntry, "no control leader responds")
	ControlReachable     = event(3102, zap.InfoLevel, LayerEntry, "control leader responds again")
	RequestAnswered      = routine(3203, zap.InfoLevel, LayerEntry, "request answered")
	RequestFailed        = event(3204, zap.WarnLevel, LayerEntry, "request not served")
	RequestRejected      = event(3205, zap.InfoLevel, LayerEntry, "request rejected before it was read")
	AttemptFailed        = event(3206, zap.InfoLevel, LayerEntry, "attempt at an upstream failed")
	SchedulerSkipped     = event(3207, zap.InfoLevel, LayerEntry, "scheduler of a service skipped")
	ResponsesLost        = event(3208, zap.WarnLevel, LayerEntry, "caller's connection closed with requests unanswered")
	CallerDisconnected   = routine(3209, zap.InfoLevel, LayerEntry, "caller disconnected with requests unanswered")
	LeavingNoticed       = event(3210, zap.InfoLevel, LayerEntry, "response shows that its upstream is leaving")
	PauseNoticed         = event(3211, zap.InfoLevel, LayerEntry, "upstream asked this host for a pause")
	NoticeInvalid        = event(3212, zap.WarnLevel, LayerEntry, "header field of an upstream's response is invalid or exceeds its limit")
	ColdNoticed          = event(3223, zap.InfoLevel, LayerEntry, "response shows that its upstream is cold")
	WindowShrunk         = event(3230, zap.InfoLevel, LayerEntry, "fewer requests without a slot to an upstream")
	WaitingEvicted       = event(3221, zap.DebugLevel, LayerEntry, "waiting request evicted from a scheduler's queue")
	ResponseTruncated    = event(3201, zap.WarnLevel, LayerEntry, "upstream's response was truncated, caller's connection closed")
	IdleConnsClosed      = event(3202, zap.InfoLevel, LayerEntry, "connection unresponsive, idle ones to the same upstream closed")
)

// catalogue holds all events by number.
var catalogue map[int]Event

func event(number int, level zapcore.Level, layer Layer, text string) Event {
	if catalogue == nil {
		catalogue = map[int]Event{}
	}
	e := Event{number: number, level: level, layer: layer, text: text}
	catalogue[number] = e
	return e
}

func routine(number int, level zapcore.Level, layer Layer, text string) Event {
	e := event(number, level, layer, text)
	e.routine = true
	catalogue[number] = e
	return e
}

// Catalogue returns all events by number.
func Catalogue() map[int]Event { return catalogue }

// Log writes numbered events as lines of JSON. It is safe for concurrent use.
type Log struct {
	zap    *zap.Logger
	writer *writer
	layers map[Layer]bool
	limits map[int]*limit
}

// New returns a log that writes events from the given level up to standard output. Debug events are written only for the
// named layers, a comma-separated list; naming a layer lowers the level to debug.
func New(level, layers, host string) (l *Log, err error) {
	return newLog(os.Stdout, level, layers, host)
}

func newLog(to io.Writer, level, layers, host string) (l *Log, err error) {
	defer func() { err = errors.WithMessage(err, "open log") }()
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	l = &Log{writer: newWriter(to), layers: map[Layer]bool{}, limits: map[int]*limit{}}
	for _, name := range strings.Split(layers, ",") {
		if name = strings.TrimSpace(name); name != "" {
			l.layers[Layer(name)] = true
			lowest = zap.DebugLevel
		}
	}
	for number, e := range catalogue {
		l.limits[number] = newLimit(failurePerSecond, failureBurst)
		if e.routine {
			l.limits[number] = newLimit(routinePerSecond, routineBurst)
		}
	}
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), l.writer, zap.NewAtomicLevelAt(lowest))
	l.zap = zap.New(core, zap.Fields(zap.String("host", host)))
	return l, nil
}

// Nop returns a log that writes nothing.
func Nop() *Log { return &Log{zap: zap.NewNop()} }

// Write logs an event with its fields. Debug events are written only for the layers given to New. An event that exceeds its
// rate limit is skipped; the next line of the event has the number of skipped ones in the field leftOut.
func (l *Log) Write(e Event, fields ...zap.Field) {
	if e.level == zap.DebugLevel && !l.layers[e.layer] {
		return
	}
	if limit := l.limits[e.number]; limit != nil {
		ok, skipped := limit.allow(time.Now())
		if !ok {
			return
		}
		if skipped > 0 {
			fields = append(fields, zap.Int64("leftOut", skipped))
		}
	}
	if entry := l.zap.Check(e.level, e.text); entry != nil {
		entry.Write(append(fields, zap.Int("event", e.number), zap.String("layer", string(e.layer)))...)
	}
}

// Dropped returns the number of lines lost because the output was blocked or failed.
func (l *Log) Dropped() int64 {
	if l.writer == nil {
		return 0
	}
	return l.writer.dropped.Load()
}

// Sync writes the buffered lines; it waits at most flushTimeout.
func (l *Log) Sync() { _ = l.zap.Sync() }

// Cause returns a field with the error that caused an event.
func Cause(err error) zap.Field { return zap.String("error", err.Error()) }
