package daemon

import (
	"bytes"
	"log"
	"strings"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// complaints turns what an HTTP server writes of bad connections into numbered events.
type complaints struct {
	log *events.Log
}

// Marks in the lines of net/http's server.
var (
	handshakeMark = []byte("TLS handshake error")
	refusedMark   = []byte("peer refused")
)

// Write takes one line; a refused certificate was told by the check itself already.
func (c complaints) Write(line []byte) (n int, err error) {
	text := zap.String("error", strings.TrimSpace(string(line)))
	switch {
	case bytes.Contains(line, refusedMark):
	case bytes.Contains(line, handshakeMark):
		c.log.Write(events.PeerRejected, text)
	default:
		c.log.Write(events.HTTPServerError, text)
	}
	return len(line), nil
}

// serverLog returns the log of an HTTP server.
func (d *Daemon) serverLog() *log.Logger { return log.New(complaints{log: d.log}, "", 0) }
