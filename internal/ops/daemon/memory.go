package daemon

import (
	"net/http"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/entry/relay"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/memory"
	"ebonyrill.dev/ebonyrill/internal/shared/wire"
)

// openGate creates the memory account that all listeners share, and limits the collector's memory.
func (d *Daemon) openGate() {
	limits := memory.NewLimits(d.settings.Memory(), d.settings.Descriptors(), int64(d.settings.MaxBodyBytes()))
	d.log.Write(events.MemoryPlanned, zap.Int64("bytes", limits.Memory), zap.Int("descriptors", limits.Descriptors), zap.String("source", limits.Source))
	plan := memory.NewPlan(limits.Memory, limits.Descriptors)
	if !d.settings.Entry() {
		plan = plan.For(memory.PeerUse, memory.OtherUse, memory.OtherUse, memory.PlatformUse)
	}
	plan.Apply()
	d.gate = memory.NewGate(plan, func(remote string, r memory.Reason) {
		d.log.Write(events.MemoryRefused, zap.String("remote", remote), zap.String("reason", string(r)))
	})
}

// Bytes that handlers keep for each byte of a body: forwarded bodies are kept as they are. Messages are also decoded.
const (
	forwardedFactor = 1
	decodedFactor   = 4
)

// forwarded describes the body of a request that is forwarded. The handler rejects bodies over the limit, with an outcome.
func forwarded(*http.Request) memory.BodyUse { return memory.BodyUse{Factor: forwardedFactor} }

// decoded describes the body of a message of at most limit bytes.
func decoded(limit int64) func(*http.Request) memory.BodyUse {
	return func(*http.Request) memory.BodyUse {
		return memory.BodyUse{Factor: decodedFactor, Limit: limit, Abort: true}
	}
}

// fromPeers describes the body of a request of another host: one that it forwards, or a message.
func fromPeers(r *http.Request) memory.BodyUse {
	if r.Header.Get(relay.HeaderHop) != "" {
		return forwarded(r)
	}
	return decoded(wire.MaxMessageBytes)(r)
}

// registerMemory registers the metrics of the memory account.
func (d *Daemon) registerMemory(gauge func(name, help string, value func() float64), counter func(name, help string, value func() int64)) {
	gauge("ebonyrill_memory_account_bytes", "Bytes that requests in memory may take.", func() float64 { return float64(d.gate.Size()) })
	gauge("ebonyrill_memory_requests", "Requests that hold memory.", func() float64 { return float64(d.gate.Requests()) })
	gauge("ebonyrill_memory_held_bytes", "Bytes that requests in memory take.", func() float64 { return float64(d.gate.Held()) })
	counter("ebonyrill_memory_refused_total", "Requests that waited too long for memory.", func() int64 { return d.gate.Refusals(memory.ReasonWaited) })
	counter("ebonyrill_memory_stalled_total", "Requests without progress while others waited for memory.", func() int64 {
		return d.gate.Refusals(memory.ReasonStalled)
	})
	counter("ebonyrill_connections_closed_total", "Silent connections closed for new ones.", func() int64 {
		return d.gate.Refusals(memory.ReasonConnections)
	})
	counter("ebonyrill_bodies_too_large_total", "Bodies over the limit of a listener of messages.", func() int64 { return d.gate.Refusals(memory.ReasonTooLarge) })
	counter("ebonyrill_answers_refused_total", "Answers for which there was no memory.", func() int64 { return d.gate.Refusals(memory.ReasonAnswer) })
	counter("ebonyrill_connections_retired_total", "Connections that end after their responses for new ones, as all are in use.", func() int64 {
		return d.gate.Refusals(memory.ReasonTurn)
	})
}
