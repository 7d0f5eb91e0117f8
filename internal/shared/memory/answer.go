package memory

import (
	"bytes"
	"net/http"
	"time"
)

// answersAtOnce is how many answers of a Buffered handler are made at the same time; each exists several times meanwhile.
const answersAtOnce = 2

// answer keeps what a handler writes.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader sets the status of the answer.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write adds to the body of the answer.
func (a *answer) Write(b []byte) (n int, err error) {
	a.WriteHeader(http.StatusOK)
	return a.body.Write(b)
}

// Buffered returns a handler whose answers are made a few at a time, and written only if there is memory to hold each until its client has
// read it. Otherwise the client gets 503 with Retry-After; so the requests must not change anything. The server must be one for which
// Serve was called.
func Buffered(next http.Handler) http.Handler {
	turns := make(chan struct{}, answersAtOnce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		late := time.NewTimer(maxWait)
		defer late.Stop()
		select {
		case turns <- struct{}{}:
		case <-r.Context().Done():
			return
		case <-late.C:
			refuse(w, r)
			return
		}
		a := &answer{header: w.Header().Clone()}
		held := func() bool {
			defer func() { <-turns }()
			next.ServeHTTP(a, r)
			return Hold(r.Context(), int64(a.body.Cap()))
		}()
		if !held {
			refuse(w, r)
			return
		}
		for name, values := range a.header {
			w.Header()[name] = values
		}
		a.WriteHeader(http.StatusOK)
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body.Bytes()) // the client is gone
	})
}

// refuse answers a request for whose answer there is no memory.
func refuse(w http.ResponseWriter, r *http.Request) {
	if b := bodyOf(r.Context()); b != nil {
		b.refuse(ReasonAnswer)
	}
	w.Header().Set("Retry-After", RetryAfter)
	http.Error(w, "the host has no memory for the answer", http.StatusServiceUnavailable)
}
