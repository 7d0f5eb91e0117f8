package daemon

import (
	"io"
	"net/http"
	"time"
)

// bodyTimeout limits how long the daemon's HTTP servers wait for the body of a request. A client that takes longer is treated
// as unresponsive.
const bodyTimeout = 30 * time.Second

// limitBodyTime returns a handler whose reads of a request's body fail once the timeout has passed since the handler was
// called. It does not limit how long the handler takes after it has read the body.
func limitBodyTime(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			control := http.NewResponseController(w)
			if err := control.SetReadDeadline(time.Now().Add(timeout)); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
			r.Body = &deadlineBody{ReadCloser: r.Body, control: control}
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody is a request body that must be read before the connection's read deadline.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read removes the read deadline once the body has been read completely, so that it does not expire while the handler works.
func (b *deadlineBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.control.SetReadDeadline(time.Time{}) // an error means that the connection is closed and needs no deadline
	}
	return n, err
}
