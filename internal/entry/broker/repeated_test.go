package broker

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// repeating is an upstream that rejects the first send of each request, and that repeats this rejection when the request arrives again on
// the same connection. It runs the request then.
type repeating struct {
	status int
	mutex  sync.Mutex
	sends  map[string]int
	runs   map[string]int
}

// serve serves one connection, which begins with a request.
func (s *repeating) serve(w http.ResponseWriter, r *http.Request) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	here := map[string]bool{}
	for err == nil {
		id := r.Header.Get("Id")
		text := s.rejection(id)
		if s.isRun(id) {
			ran := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nProof: p\r\nContent-Length: 3\r\n\r\nran", id)
			if here[id] {
				text += ran
			} else {
				text = ran
			}
		}
		here[id] = true
		if _, err = conn.Write([]byte(text)); err == nil {
			r, err = http.ReadRequest(buffered.Reader)
		}
	}
}

func (s *repeating) rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", s.status, id)
}

// isRun counts a send, and reports whether the request is run.
func (s *repeating) isRun(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sends[id]++
	if s.sends[id] > 1 {
		s.runs[id]++
	}
	return s.sends[id] > 1
}

// ran returns how often a request was run.
func (s *repeating) ran(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.runs[id]
}

// TestRepeatedRejectionIsNotTheNextOne guards against requests that run twice, or are rejected as not run and have run: the owner of a key
// rejects a request and repeats the rejection late, when the request has been sent to it again.
func TestRepeatedRejectionIsNotTheNextOne(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/sign/keyed/x", "/keep/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				t.Parallel()
				s := &repeating{status: status, sends: map[string]int{}, runs: map[string]int{}}
				f := newFixture(t, nil, []http.HandlerFunc{s.serve})
				served := 0
				for n := range 4 {
					id := fmt.Sprint(path, n)
					status := f.handle(path, func(r *http.Request) { r.Header.Set("Id", id) }).Status
					ran := s.ran(id)
					f.c.Check(ran <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, ran))
					f.c.Check(isRejection(status) && ran > 0, qt.IsFalse, qt.Commentf("%s was answered %d and ran", id, status))
					if status == http.StatusOK {
						served++
					}
				}
				f.c.Check(served > 0, qt.IsTrue)
			})
		}
	}
}
