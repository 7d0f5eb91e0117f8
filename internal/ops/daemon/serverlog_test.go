package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/events"
)

// TestPlainTextPeerIsLogged sends a plain-text request to a TLS server and expects the handshake error as an event in the log.
func TestPlainTextPeerIsLogged(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "log")
	out, err := os.Create(file)
	c.Assert(err, qt.IsNil)
	stdout := os.Stdout
	os.Stdout = out
	log, err := events.New("info", "", "h")
	os.Stdout = stdout
	c.Assert(err, qt.IsNil)
	d := &Daemon{log: log}
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ErrorLog = d.serverLog()
	server.StartTLS()
	response, err := http.Get("http://" + server.Listener.Addr().String())
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	server.Close()
	log.Sync()
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, `"event":1101`)
	c.Assert(string(text), qt.Contains, "TLS handshake error")
}
