package serve

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// write writes the answers in the order of their requests; an answer that ends the connection, or that cannot be written
// whole, is the last.
func (c *conn) write() {
	goOn := true
	for x := range c.order {
		switch {
		case x.interim:
			goOn = goOn && c.writeContinue()
		case !goOn:
			c.skip(x)
		default:
			goOn = c.writeOne(<-x.answer)
		}
	}
}

// skip waits for an answer that can no longer be written.
func (c *conn) skip(x *exchange) {
	c.cut(CauseLastResponse, nil)
	if a := <-x.answer; a != nil && a.Done != nil {
		a.Done(false)
	}
	c.written()
}

// writeContinue asks the caller for a body that it holds back. It stands among the answers, as bytes between those of an answer
// would spoil it.
func (c *conn) writeContinue() (goOn bool) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		c.abort(causeOf(err), err)
		return false
	}
	return true
}

// writeOne writes one answer and reports whether the connection may go on.
func (c *conn) writeOne(a *Response) (goOn bool) {
	if a == nil {
		c.abort(CauseNoResponse, nil)
		c.written()
		return false
	}
	a.Close = c.endsWith(a.Close)
	err := c.writeAnswer(a)
	if a.Done != nil {
		a.Done(err == nil)
	}
	if err != nil {
		c.breakOff(a)
		c.abort(causeOf(err), err)
		c.written()
		return false
	}
	if c.written() || a.Close {
		c.closeAfterAnswer()
		return false
	}
	return true
}

// breakOff makes the end of the connection a reset where a usual one would make a part of an answer look whole.
func (c *conn) breakOff(a *Response) {
	if tcp, ok := c.raw.(*net.TCPConn); ok && a.untilClose {
		_ = tcp.SetLinger(0)
	}
}

// endsWith reports whether the connection ends with the answer that is about to be written.
func (c *conn) endsWith(closes bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phases.write(closes)
}

// written takes the oldest answer off those that are due, and reports whether the connection ends behind it.
func (c *conn) written() (end bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.due = c.due[1:]
	end = c.phases.written()
	c.wake()
	return end
}

func (c *conn) writeAnswer(a *Response) (err error) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var b bytes.Buffer
	writeHead(&b, a)
	b.Write(chunkOf(a))
	if _, err = c.raw.Write(b.Bytes()); err != nil || a.Rest == nil {
		return err
	}
	return c.copyRest(a)
}

// chunked reports whether an answer's length is not known before it ends.
func chunked(a *Response) bool { return a.Rest != nil && a.Length < 0 && !a.untilClose }

// chunkOf returns the first part of the body as it goes on the wire.
func chunkOf(a *Response) []byte {
	if !chunked(a) {
		return a.Body
	}
	return frame(a.Body)
}

func frame(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	framed := strconv.AppendInt(nil, int64(len(b)), 16)
	framed = append(framed, "\r\n"...)
	framed = append(framed, b...)
	return append(framed, "\r\n"...)
}

func writeHead(b *bytes.Buffer, a *Response) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(a.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(a.Status))
	b.WriteString("\r\n")
	for name, values := range a.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	switch {
	case chunked(a):
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case a.untilClose:
	case a.Rest != nil || a.Length > int64(len(a.Body)):
		b.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	case a.Status != http.StatusNoContent && a.Status != http.StatusNotModified:
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	if a.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}

// copyRest writes the part of a body that is read while it is written.
func (c *conn) copyRest(a *Response) (err error) {
	left := a.Length - int64(len(a.Body))
	buffer := make([]byte, copyBuffer)
	for {
		n, readErr := a.Rest.Read(buffer)
		if n > 0 {
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			part := buffer[:n]
			if chunked(a) {
				part = frame(part)
			}
			if _, err = c.raw.Write(part); err != nil {
				return err
			}
			left -= int64(n)
		}
		switch {
		case readErr == io.EOF && chunked(a):
			_, err = io.WriteString(c.raw, "0\r\n\r\n")
			return err
		case readErr == io.EOF && (left == 0 || a.untilClose):
			return nil
		case readErr == io.EOF:
			return &errRest{io.ErrUnexpectedEOF}
		case readErr != nil:
			return &errRest{readErr}
		}
	}
}

// copyBuffer is how much of a long answer is held at a time, in bytes.
const copyBuffer = 16 << 10

// closeAfterAnswer ends the connection behind its last answer: the caller sees the end, and what it still sends is read for a
// moment, as a close with unread bytes would reset the connection and could lose the answer.
func (c *conn) closeAfterAnswer() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingerEnd = time.Now().Add(lingerTime)
	_ = c.raw.SetReadDeadline(c.lingerEnd)
}
