package wire

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version of the messages between processes; calls of another version are refused.
const Version = "1"

// versionHeader names the version that a call speaks.
const versionHeader = "Ebonyrill-Wire"

// compression names what Connect would compress bodies with by itself; it is taken out on both sides, as hashes do not
// compress and the rest is small.
const compression = "gzip"

// Limits of calls between processes.
const (
	maxMessageBytes  = 64 << 20
	maxHeadBytes     = 32 << 10 // bytes; headers of calls are few and short
	maxArrayElements = 1 << 24
	maxMapPairs      = 1 << 20
	idleTimeout      = 30 * time.Second
	idlePerHost      = 8
)

var (
	encoding, _ = cbor.EncOptions{}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}.DecMode()
)

// Marshal encodes a message or a state.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes a message or a state; bytes left over are an error.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }

// Encoded is a message that was encoded before, for an answer that many callers get.
type Encoded struct {
	bytes []byte
}

// Encode encodes a message once.
func Encode(v any) (e *Encoded, err error) {
	data, err := Marshal(v)
	return &Encoded{bytes: data}, err
}

// codec encodes Connect bodies as CBOR.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "cbor" }

// Marshal encodes a body; Connect writes over the bytes later, so that those of a shared message are copied.
func (codec) Marshal(v any) ([]byte, error) {
	if e, ok := v.(*Encoded); ok {
		return slices.Clone(e.bytes), nil
	}
	return Marshal(v)
}

// Unmarshal decodes a body.
func (codec) Unmarshal(data []byte, v any) error { return Unmarshal(data, v) }

// Client calls other processes.
type Client struct {
	http    *http.Client
	scheme  string
	traffic *Traffic
}

// NewClient returns a client; a nil Security means plain text.
func NewClient(security *Security) *Client {
	c := &Client{scheme: "http", traffic: &Traffic{}}
	c.http = &http.Client{Transport: boundedTransport{newTransport(security, idleTimeout, idlePerHost, c.traffic), maxMessageBytes}}
	if security != nil {
		c.scheme = "https"
	}
	return c
}

// Traffic returns the bytes of all calls.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Scheme returns the URL scheme for peers.
func (c *Client) Scheme() string { return c.scheme }

// Call performs a procedure at an address. A call that ran out of time may have met a silent connection, so the idle
// ones are dropped and the next call dials anew.
func Call[Req, Res any](ctx context.Context, c *Client, address, procedure string, request *Req) (answer *Res, err error) {
	defer func() { err = errors.WithMessagef(err, "call %s at %s", procedure, address) }()
	client := connect.NewClient[Req, Res](c.http, c.scheme+"://"+address+procedure, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithAcceptCompression(compression, nil, nil))
	envelope := connect.NewRequest(request)
	envelope.Header().Set(versionHeader, Version)
	reply, err := client.CallUnary(ctx, envelope)
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			c.http.CloseIdleConnections()
		}
		return nil, err
	}
	return reply.Msg, nil
}

// Handle serves a procedure on the mux.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, serve func(context.Context, *Req) (*Res, error)) {
	unary := func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		if v := r.Header().Get(versionHeader); v != Version {
			return nil, connect.NewError(connect.CodeFailedPrecondition, &ErrVersion{Found: v})
		}
		answer, err := serve(ctx, r.Msg)
		if err != nil {
			return nil, wireError(err)
		}
		return connect.NewResponse(answer), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompression(compression, nil, nil)))
}

// Coded is implemented by errors that choose the code that crosses the wire.
type Coded interface {
	Code() connect.Code
}

// wireError returns the error as it crosses the wire, with the leader's address where it is known.
func wireError(err error) error {
	e := connect.NewError(codeOf(err), err)
	var hint *ErrNoLeader
	if errors.As(err, &hint) && hint.Leader != "" {
		e.Meta().Set(leaderHeader, hint.Leader)
	}
	return e
}

func codeOf(err error) connect.Code {
	var coded Coded
	if errors.As(err, &coded) {
		return coded.Code()
	}
	return connect.CodeUnknown
}

// ErrVersion is returned to a caller that speaks another version of the messages.
type ErrVersion struct {
	Found string
}

// Error returns the message.
func (e *ErrVersion) Error() string {
	return "messages of version " + Version + " are needed, found " + quoteEmpty(e.Found)
}

func quoteEmpty(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// ReadLimited reads a body up to a number of bytes and reports whether all of it was read.
func ReadLimited(r io.Reader, limit int64) (data []byte, whole bool, err error) {
	var b bytes.Buffer
	n, err := io.Copy(&b, io.LimitReader(r, limit+1))
	return b.Bytes(), n <= limit, err
}
