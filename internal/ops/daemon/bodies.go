package daemon

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout is how long a request's body may take on the ports of peers, upstreams and operators; one that comes more slowly
// counts as silent.
const bodyTimeout = 30 * time.Second

// timedBodies bounds how long handlers wait for the bodies of their requests, not how long they take afterwards.
func timedBodies(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			r.Body = &timedBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody is a body that must come within a time.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read lifts the bound once the body was read whole.
func (b *timedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{}) // a connection that is gone needs no bound
	}
	return n, err
}
