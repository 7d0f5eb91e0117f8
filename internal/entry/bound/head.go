package bound

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// ErrMalformed is returned for the head of a response that is not one in the protocol. Reason says what is wrong with it.
type ErrMalformed struct {
	Reason string
}

// Error returns the message.
func (e *ErrMalformed) Error() string { return "malformed response: " + e.Reason }

// cutHead divides what was read at the empty line after the head of a response. Like net/http, it takes a line feed alone for the end of
// a line.
func cutHead(read []byte) (head, rest []byte, complete bool) {
	for end := 0; ; {
		line := bytes.IndexByte(read[end:], '\n')
		if line < 0 {
			return read, nil, false
		}
		end += line + 1
		if rest, complete = bytes.CutPrefix(bytes.TrimPrefix(read[end:], []byte("\r")), []byte("\n")); complete {
			return bytes.TrimSuffix(read[:end-1], []byte("\r")), rest, true
		}
	}
}

// CheckHead returns ErrMalformed if the status line and header of a response, up to the empty line, are not those of a response to a
// request without an upgrade. net/http accepts every status that parses as a number, and resolves contradictory lengths by itself; a
// caller must get neither as an upstream's response.
func CheckHead(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	status, ok := parseStatusLine(strings.TrimSuffix(string(line), "\r"))
	switch {
	case !ok:
		return &ErrMalformed{Reason: "status line " + strconv.Quote(string(line[:min(len(line), 40)]))}
	case status < 100 || status > 599:
		return &ErrMalformed{Reason: "status " + strconv.Itoa(status)}
	case status == http.StatusSwitchingProtocols:
		return &ErrMalformed{Reason: "status 101 without a request for it"}
	}
	lengths, encodings := 0, 0
	for _, field := range bytes.Split(rest, []byte("\n")) {
		name, _, _ := strings.Cut(string(field), ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			encodings++
		}
	}
	if lengths > 1 || lengths+encodings > 1 {
		return &ErrMalformed{Reason: "more than one length"}
	}
	return nil
}

// statusLength is the length of the shortest status line, HTTP/1.1 and a status.
const statusLength = len("HTTP/1.1 200")

// parseStatusLine returns the status of a status line: the version 1.0 or 1.1, one space, three digits, and a space before the reason.
func parseStatusLine(line string) (status int, ok bool) {
	version := strings.HasPrefix(line, "HTTP/1.1 ") || strings.HasPrefix(line, "HTTP/1.0 ")
	if !version || len(line) < statusLength || len(line) > statusLength && line[statusLength] != ' ' {
		return 0, false
	}
	digits := line[statusLength-3 : statusLength]
	if strings.Trim(digits, "0123456789") != "" {
		return 0, false
	}
	status, err := strconv.Atoi(digits)
	return status, err == nil
}

// Recorder records the bytes of a response's head while they are read.
type Recorder struct {
	head []byte
	on   bool
}

// Start begins to record. The bytes in buffered were read before.
func (r *Recorder) Start(buffered []byte) { r.head, r.on = append(r.head[:0], buffered...), true }

// Add records bytes that were read, until the head is complete or longer than MaxResponseHeader.
func (r *Recorder) Add(b []byte) {
	if r.on && len(r.head) <= MaxResponseHeader {
		r.head = append(r.head, b...)
	}
}

// Head returns the recorded head without the empty line that ends it, and whether it was complete.
func (r *Recorder) Head() (head []byte, complete bool) {
	head, _, complete = cutHead(r.head)
	return head, complete
}

// Stop ends the recording and frees what was recorded.
func (r *Recorder) Stop() { r.head, r.on = nil, false }

// Conn is a connection to a peer. It checks the head of each response that is expected, and fails the read that completes a malformed one.
type Conn struct {
	net.Conn
	mutex    sync.Mutex
	recorder Recorder
}

// NewConn returns a connection that expects no response yet.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// ExpectResponse makes the connection check the next response. It is called when a request gets the connection.
func (c *Conn) ExpectResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recorder.Start(nil)
}

// Read reads, and returns ErrMalformed instead of the end of a malformed head.
func (c *Conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recorder.Add(b[:max(n, 0)])
	if bad := c.recorder.checkComplete(); bad != nil {
		return 0, bad
	}
	return n, err
}

// checkComplete checks the recorded head if it is complete, and ends the recording unless the response is an interim one.
func (r *Recorder) checkComplete() error {
	for r.on {
		head, rest, complete := cutHead(r.head)
		if !complete {
			return nil
		}
		if err := CheckHead(head); err != nil {
			return err
		}
		if !isInterim(head) {
			r.Stop()
			return nil
		}
		r.Start(rest)
	}
	return nil
}

// isInterim reports whether a well-formed head is that of an interim response, which another one follows.
func isInterim(head []byte) bool { return head[statusLength-3] == '1' }
