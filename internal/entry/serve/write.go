package serve

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// write writes the responses in the order of their requests. A response that ends the connection, or that cannot be written
// completely, is the last.
func (c *conn) write() {
	goOn := true
	for x := range c.exchanges {
		switch {
		case x.interim:
			goOn = goOn && c.writeContinue()
		case !goOn:
			c.skip(x)
		default:
			goOn = c.writeNext(<-x.response)
		}
		if x.request != nil {
			x.request.ticket.Release()
		}
	}
}

// skip waits for a response that can no longer be written and discards it.
func (c *conn) skip(x *exchange) {
	c.endUnanswered(CauseLastResponse, nil)
	if resp := <-x.response; resp != nil && resp.Done != nil {
		resp.Done(false)
	}
	c.endWrite()
}

// writeContinue sends 100 Continue to a caller that waits for it before it sends a body. The writer sends it, so that it is
// not mixed into the bytes of another response.
func (c *conn) writeContinue() (goOn bool) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(c.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		c.abort(writeFailureCause(err), err)
		return false
	}
	return true
}

// writeNext writes a response and reports whether the connection stays open.
func (c *conn) writeNext(resp *Response) (goOn bool) {
	if resp == nil {
		c.abort(CauseNoResponse, nil)
		c.endWrite()
		return false
	}
	resp.Close = c.beginWrite(resp.Close)
	err := c.writeResponse(resp)
	if resp.Done != nil {
		resp.Done(err == nil)
	}
	if err != nil {
		c.resetTruncated(resp)
		c.abort(writeFailureCause(err), err)
		c.endWrite()
		return false
	}
	if c.endWrite() || resp.Close {
		c.halfClose()
		return false
	}
	return true
}

// resetTruncated makes the close of the connection a reset if the end of the connection is what ends the body: a normal close
// would make the truncated response look complete.
func (c *conn) resetTruncated(resp *Response) {
	if tcp, ok := c.raw.(interface{ SetLinger(seconds int) error }); ok && resp.untilClose {
		_ = tcp.SetLinger(0)
	}
}

// beginWrite reports whether the response that is about to be written ends the connection.
func (c *conn) beginWrite(closes bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state.beginWrite(closes)
}

// endWrite removes the oldest request from those outstanding, and reports whether the connection ends now although its response
// was not sent with Connection: close.
func (c *conn) endWrite() (end bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outstanding = c.outstanding[1:]
	end = c.state.endWrite()
	c.interruptRead()
	return end
}

func (c *conn) writeResponse(resp *Response) (err error) {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	var b bytes.Buffer
	writeHeader(&b, resp)
	b.Write(firstPart(resp))
	if _, err = c.raw.Write(b.Bytes()); err != nil || resp.Rest == nil {
		return err
	}
	return c.copyRest(resp)
}

// chunked reports whether a response is sent with chunked encoding, as its length is not known.
func chunked(resp *Response) bool { return resp.Rest != nil && resp.Length < 0 && !resp.untilClose }

// firstPart returns Body as it is sent, encoded as a chunk if need be.
func firstPart(resp *Response) []byte {
	if !chunked(resp) {
		return resp.Body
	}
	return encodeChunk(resp.Body)
}

func encodeChunk(b []byte) []byte {
	if len(b) == 0 {
		return nil
	}
	framed := strconv.AppendInt(nil, int64(len(b)), 16)
	framed = append(framed, "\r\n"...)
	framed = append(framed, b...)
	return append(framed, "\r\n"...)
}

func writeHeader(b *bytes.Buffer, resp *Response) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(strconv.Itoa(resp.Status))
	b.WriteByte(' ')
	b.WriteString(http.StatusText(resp.Status))
	b.WriteString("\r\n")
	for name, values := range resp.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	switch {
	case chunked(resp):
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case resp.untilClose:
	case resp.Rest != nil || resp.Length > int64(len(resp.Body)):
		b.WriteString("Content-Length: " + strconv.FormatInt(resp.Length, 10) + "\r\n")
	case resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified:
		b.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	if resp.Close {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
}

// copyRest copies the rest of a body to the caller, with a write timeout for each part.
func (c *conn) copyRest(resp *Response) (err error) {
	left := resp.Length - int64(len(resp.Body))
	buffer := make([]byte, copyBuffer)
	for {
		n, readErr := resp.Rest.Read(buffer)
		if n > 0 {
			_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
			part := buffer[:n]
			if chunked(resp) {
				part = encodeChunk(part)
			}
			if _, err = c.raw.Write(part); err != nil {
				return err
			}
			left -= int64(n)
		}
		switch {
		case readErr == io.EOF && chunked(resp):
			_, err = io.WriteString(c.raw, "0\r\n\r\n")
			return err
		case readErr == io.EOF && (left == 0 || resp.untilClose):
			return nil
		case readErr == io.EOF:
			return &errReadRest{io.ErrUnexpectedEOF}
		case readErr != nil:
			return &errReadRest{readErr}
		}
	}
}

// copyBuffer is the size of the buffer for the rest of a body, in bytes.
const copyBuffer = 16 << 10

// halfClose closes the writing side after the last response. What the caller still sends is read for lingerTime, as a close
// with unread bytes would reset the connection and could lose the response.
func (c *conn) halfClose() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingerEnd = time.Now().Add(lingerTime)
	_ = c.raw.SetReadDeadline(c.lingerEnd)
}
