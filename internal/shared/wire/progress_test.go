package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLargeResponsesOnSlowLinks guards against a table that never arrives, as it takes longer than one attempt, and against waiting for a
// response that has stopped.
func TestLargeResponsesOnSlowLinks(t *testing.T) {
	const period = time.Second
	for name, parts := range map[string]int{"slow": 6, "stopped": 1} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				for range parts {
					_, _ = w.Write([]byte(strings.Repeat("x", 2*minProgress)))
					w.(http.Flusher).Flush()
					time.Sleep(period / 4)
				}
				if parts == 1 {
					<-r.Context().Done()
				}
			}))
			defer server.Close()
			client := NewClient(nil)
			ctx, cancel := client.whileReceiving(context.Background(), period)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			c.Assert(err, qt.IsNil)
			response, err := client.http.Do(request)
			c.Assert(err, qt.IsNil)
			defer func() { _ = response.Body.Close() }()
			n := 0
			for buffer := make([]byte, 4096); err == nil; {
				var m int
				m, err = response.Body.Read(buffer)
				n += m
			}
			c.Check(n, qt.Equals, parts*2*minProgress)
			c.Check(ctx.Err() != nil, qt.Equals, parts == 1)
		})
	}
}
