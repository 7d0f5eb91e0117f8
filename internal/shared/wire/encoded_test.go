package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSharedMessageStaysUnchanged sends one encoded message to many callers while other responses are written. Connect reuses
// the buffer of each response for later ones, which must not overwrite the shared message.
func TestSharedMessageStaysUnchanged(t *testing.T) {
	c := qt.New(t)
	shared, err := Encode(ping{Text: strings.Repeat("shared", 1000)})
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	Handle(mux, procedure, func(context.Context, *ping) (*Encoded, error) { return shared, nil })
	Handle(mux, procedure+"Echo", func(_ context.Context, p *ping) (*ping, error) { return &ping{Text: strings.Repeat(p.Text, 700)}, nil })
	s := httptest.NewServer(mux)
	c.Cleanup(s.Close)
	address, client := s.Listener.Addr().String(), NewClient(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 50 {
				response, err := Call[ping, ping](ctx, client, address, procedure, &ping{})
				c.Check(err, qt.IsNil)
				c.Check(err != nil || response.Text == strings.Repeat("shared", 1000), qt.IsTrue)
				_, err = Call[ping, ping](ctx, client, address, procedure+"Echo", &ping{Text: "other"})
				c.Check(err, qt.IsNil)
			}
		})
	}
	wait.Wait()
}
