package wire

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Version is the version of the messages between processes; calls of another version are rejected.
const Version = "1"

// versionHeader is the request header with the version of the message.
const versionHeader = "Ebonyrill-Wire"

// compression is Connect's default compression. It is disabled on both sides, as hashes do not compress and the rest of a
// message is small.
const compression = "gzip"

// Limits of calls between processes.
const (
	MaxMessageBytes  = 64 << 20 // of a message, compressed or not
	maxHeaderBytes   = 32 << 10 // bytes; headers of calls are few and short
	maxArrayElements = 1 << 24
	maxMapPairs      = 1 << 20
	idleTimeout      = 30 * time.Second
	idlePerHost      = 8
)

var (
	encoding, _ = cbor.EncOptions{}.EncMode()
	decoding, _ = cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs}.DecMode()
)

// Marshal encodes a message or a replicated state as CBOR.
func Marshal(v any) ([]byte, error) { return encoding.Marshal(v) }

// Unmarshal decodes a message or a replicated state; trailing bytes are an error.
func Unmarshal(data []byte, v any) error { return decoding.Unmarshal(data, v) }

// Encoded is a message that is already encoded, for a response that is sent to many callers.
type Encoded struct {
	bytes []byte
}

// Encode encodes a message for repeated use.
func Encode(v any) (e *Encoded, err error) {
	data, err := Marshal(v)
	return &Encoded{bytes: data}, err
}

// codec is the CBOR codec for Connect bodies.
type codec struct{}

// Name returns the codec's name in content types.
func (codec) Name() string { return "cbor" }

// Marshal encodes a body. The bytes of an Encoded message are copied, as Connect reuses the buffer that it gets.
func (codec) Marshal(v any) ([]byte, error) {
	if e, ok := v.(*Encoded); ok {
		return slices.Clone(e.bytes), nil
	}
	return Marshal(v)
}

// Unmarshal decodes a body.
func (codec) Unmarshal(data []byte, v any) error { return Unmarshal(data, v) }

// Client makes calls to other processes.
type Client struct {
	http    *http.Client
	scheme  string
	traffic *Traffic
}

// NewClient returns a client; a nil Security means plain text.
func NewClient(security *Security) *Client {
	c := &Client{scheme: "http", traffic: &Traffic{}}
	c.http = &http.Client{Transport: boundedTransport{newTransport(security, idleTimeout, idlePerHost, c.traffic), MaxMessageBytes}}
	if security != nil {
		c.scheme = "https"
	}
	return c
}

// Traffic returns the byte counts of all calls.
func (c *Client) Traffic() *Traffic { return c.traffic }

// Scheme returns the URL scheme of peers, http or https.
func (c *Client) Scheme() string { return c.scheme }

// minProgress is how many bytes must be received within the time-out of a call for the call to continue: more than other calls receive
// meanwhile. Without it, a host on a link of 1.5 Mbit/s never gets a full table of more than 250 KB, as each attempt starts anew.
const minProgress = 32 << 10

// whileReceiving returns a context that ends after the timeout, unless at least minProgress bytes of responses were received in that time;
// it then lasts for another timeout.
func (c *Client) whileReceiving(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var mutex sync.Mutex
	var timer *time.Timer
	before := c.traffic.Received()
	check := func() {
		mutex.Lock()
		defer mutex.Unlock()
		received := c.traffic.Received()
		if received-before >= minProgress {
			before = received
			timer.Reset(timeout)
			return
		}
		cancel()
		c.http.CloseIdleConnections()
	}
	mutex.Lock()
	defer mutex.Unlock()
	timer = time.AfterFunc(timeout, check)
	return ctx, func() {
		mutex.Lock()
		defer mutex.Unlock()
		timer.Stop()
		cancel()
	}
}

// Call calls a procedure at an address. A call that exceeded its deadline may have used an unresponsive connection, so Call
// then closes idle connections and the next call dials a new one.
func Call[Req, Res any](ctx context.Context, c *Client, address, procedure string, request *Req) (response *Res, err error) {
	defer func() { err = errors.WithMessagef(err, "call %s at %s", procedure, address) }()
	client := connect.NewClient[Req, Res](c.http, c.scheme+"://"+address+procedure, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithAcceptCompression(compression, nil, nil))
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

// Handle registers the function that serves a procedure.
func Handle[Req, Res any](mux *http.ServeMux, procedure string, serve func(context.Context, *Req) (*Res, error)) {
	unary := func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		if v := r.Header().Get(versionHeader); v != Version {
			return nil, connect.NewError(connect.CodeFailedPrecondition, &ErrVersion{Found: v})
		}
		response, err := serve(ctx, r.Msg)
		if err != nil {
			return nil, wireError(err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithCodec(codec{}),
		connect.WithReadMaxBytes(MaxMessageBytes), connect.WithCompression(compression, nil, nil)))
}

// Coded is implemented by errors that define their Connect error code; other errors are sent as unknown.
type Coded interface {
	Code() connect.Code
}

// wireError returns the Connect error to send, with the leader's address if the error contains one.
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

// ErrVersion is returned for a call with another version of the messages.
type ErrVersion struct {
	Found string
}

// Error returns the message.
func (e *ErrVersion) Error() string {
	return "message version " + Version + " is required, found " + orNone(e.Found)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
