package daemon

import (
	"bytes"
	"log"
	"strings"

	"go.uber.org/zap"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// serverLogWriter writes the error log of a net/http server as events of the daemon's log.
type serverLogWriter struct {
	log *events.Log
}

// Texts that tell the kinds of lines apart.
var (
	handshakeErrorText = []byte("TLS handshake error") // by net/http
	peerRejectedText   = []byte("peer refused")        // by wire.ErrPeerRejected
)

// Write writes one line as an event. It skips rejected certificates, as the certificate check has already logged them.
func (c serverLogWriter) Write(line []byte) (n int, err error) {
	text := zap.String("error", strings.TrimSpace(string(line)))
	switch {
	case bytes.Contains(line, peerRejectedText):
	case bytes.Contains(line, handshakeErrorText):
		c.log.Write(events.PeerRejected, text)
	default:
		c.log.Write(events.HTTPServerError, text)
	}
	return len(line), nil
}

// serverLog returns the error log for an HTTP server.
func (d *Daemon) serverLog() *log.Logger { return log.New(serverLogWriter{log: d.log}, "", 0) }
