package wire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// ping is a message of these tests.
type ping struct {
	Text string `cbor:"1,keyasint"`
}

const procedure = "/test.v1.Test/Ping"

func echo(_ context.Context, p *ping) (*ping, error) { return &ping{Text: p.Text + "!"}, nil }

func mustServe(c *qt.C, serve func(context.Context, *ping) (*ping, error)) string {
	mux := http.NewServeMux()
	Handle(mux, procedure, serve)
	s := httptest.NewServer(mux)
	c.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func call(address string, client *Client) (*ping, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return Call[ping, ping](ctx, client, address, procedure, &ping{Text: "a"})
}

func TestCall(t *testing.T) {
	c := qt.New(t)
	answer, err := call(mustServe(c, echo), NewClient(nil))
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Text, qt.Equals, "a!")
}

func TestOtherVersionsAndMalformedBodiesAreRefused(t *testing.T) {
	c := qt.New(t)
	address := mustServe(c, echo)
	post := func(version, contentType, body string) int {
		r, err := http.NewRequest("POST", "http://"+address+procedure, strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		r.Header.Set("Content-Type", contentType)
		if version != "" {
			r.Header.Set(versionHeader, version)
		}
		response, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		_ = response.Body.Close()
		return response.StatusCode
	}
	whole, err := Marshal(ping{Text: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(post("1", "application/cbor", string(whole)), qt.Equals, http.StatusOK)
	for _, code := range []int{
		post("", "application/cbor", string(whole)),
		post("2", "application/cbor", string(whole)),
		post("1", "application/cbor", "\xff\x00not cbor"),
		post("1", "application/cbor", string(whole)+"more"),
		post("1", "application/xml", string(whole)),
	} {
		c.Check(code >= 400 && code < 500, qt.IsTrue, qt.Commentf("%d", code))
	}
}

func TestLeaderIsFoundByHint(t *testing.T) {
	c := qt.New(t)
	leader := mustServe(c, echo)
	follower := mustServe(c, func(context.Context, *ping) (*ping, error) { return nil, &ErrNoLeader{Leader: leader} })
	h := NewHosts(NewClient(nil), []string{follower})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := CallLeader[ping, ping](ctx, h, time.Second, procedure, &ping{Text: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Text, qt.Equals, "a!")
	c.Assert(h.Last(), qt.Equals, leader)
}

// refusal is an answer of a leader that no retry changes.
type refusal struct{}

func (*refusal) Error() string      { return "no" }
func (*refusal) Code() connect.Code { return connect.CodeFailedPrecondition }

func isCode(err error, code connect.Code) bool {
	var e *connect.Error
	return errors.As(err, &e) && e.Code() == code
}

func TestLeadersRefusalIsFinal(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	address := mustServe(c, func(context.Context, *ping) (*ping, error) {
		calls.Add(1)
		return nil, &refusal{}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := CallLeader[ping, ping](ctx, NewHosts(NewClient(nil), []string{address}), time.Second, procedure, &ping{})
	c.Assert(isCode(err, connect.CodeFailedPrecondition), qt.IsTrue)
	c.Assert(calls.Load(), qt.Equals, int64(1))
}

// silencer passes connections on; those made before a silence lose all that goes over them from then on, in one or both
// directions.
type silencer struct {
	made    atomic.Int64
	towards atomic.Int64
	back    atomic.Int64
}

func (s *silencer) serve(l net.Listener, target string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		number := s.made.Add(1)
		go s.pass(far, conn, number, &s.towards)
		go s.pass(conn, far, number, &s.back)
	}
}

func (s *silencer) pass(to, from net.Conn, number int64, silent *atomic.Int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if number > silent.Load() {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// TestSilentConnectionCostsOneCall puts a call on one of several connections that went silent; the next one dials anew.
func TestSilentConnectionCostsOneCall(t *testing.T) {
	for _, d := range []struct {
		name          string
		towards, back bool
	}{{"both ways", true, true}, {"towards the host", true, false}, {"from the host", false, true}} {
		t.Run(d.name, func(t *testing.T) { silentConnection(qt.New(t), d.towards, d.back) })
	}
}

func silentConnection(c *qt.C, towards, back bool) {
	c.Helper()
	var together sync.WaitGroup
	together.Add(2)
	target := mustServe(c, func(ctx context.Context, p *ping) (*ping, error) {
		if p.Text == "together" {
			together.Done()
			together.Wait()
		}
		return echo(ctx, p)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	s := &silencer{}
	go s.serve(l, target)
	client := NewClient(nil)
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() {
			_, err := Call[ping, ping](context.Background(), client, l.Addr().String(), procedure, &ping{Text: "together"})
			c.Check(err, qt.IsNil)
		})
	}
	wait.Wait()
	if towards {
		s.towards.Store(s.made.Load())
	}
	if back {
		s.back.Store(s.made.Load())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	_, err = Call[ping, ping](ctx, client, l.Addr().String(), procedure, &ping{})
	cancel()
	c.Assert(isCode(err, connect.CodeDeadlineExceeded), qt.IsTrue)
	_, err = call(l.Addr().String(), client)
	c.Assert(err, qt.IsNil)
}

// authority signs certificates for tests.
type authority struct {
	c           *qt.C
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	folder      string
	name        string
}

func mustAuthority(c *qt.C, folder, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	a := &authority{c: c, key: key, folder: folder, name: name}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	a.certificate, err = x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	a.write("ca", "CERTIFICATE", der)
	return a
}

func (a *authority) path(file string) string { return filepath.Join(a.folder, a.name+"-"+file+".pem") }

func (a *authority) write(file, kind string, der []byte) {
	a.c.Assert(os.WriteFile(a.path(file), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
}

// mustIssue writes a host's certificate and key.
func (a *authority) mustIssue() {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	a.c.Assert(err, qt.IsNil)
	a.write("host", "CERTIFICATE", der)
	der, err = x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write("key", "EC PRIVATE KEY", der)
}

func (a *authority) mustSecurity(onRefused func(error)) *Security {
	s, err := NewSecurity(a.path("host"), a.path("key"), a.path("ca"), onRefused)
	a.c.Assert(err, qt.IsNil)
	return s
}

func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	ours, theirs := mustAuthority(c, folder, "ours"), mustAuthority(c, folder, "theirs")
	ours.mustIssue()
	theirs.mustIssue()
	var refused atomic.Int64
	security := ours.mustSecurity(func(err error) {
		if _, ok := err.(*ErrPeerRejected); ok {
			refused.Add(1)
		}
	})
	mux := http.NewServeMux()
	Handle(mux, procedure, echo)
	l, err := tls.Listen("tcp", "127.0.0.1:0", security.ServerConfig())
	c.Assert(err, qt.IsNil)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	address := l.Addr().String()
	c.Run("a peer of ours", func(c *qt.C) {
		_, err := call(address, NewClient(ours.mustSecurity(nil)))
		c.Assert(err, qt.IsNil)
	})
	c.Run("a stranger", func(c *qt.C) {
		_, err := call(address, NewClient(theirs.mustSecurity(nil)))
		c.Assert(err, qt.IsNotNil)
	})
	c.Run("a stranger who trusts us", func(c *qt.C) {
		s, err := NewSecurity(theirs.path("host"), theirs.path("key"), ours.path("ca"), nil)
		c.Assert(err, qt.IsNil)
		before := refused.Load()
		_, err = call(address, NewClient(s))
		c.Assert(err, qt.IsNotNil)
		c.Assert(refused.Load() > before, qt.IsTrue)
	})
	c.Run("plain text", func(c *qt.C) {
		_, err := call(address, NewClient(nil))
		c.Assert(err, qt.IsNotNil)
	})
	c.Run("a renewed certificate is read", func(c *qt.C) {
		before, _ := security.current()
		ours.mustIssue()
		security.checkedAt, security.loadedAt = time.Time{}, time.Time{}
		after, _ := security.current()
		c.Assert(string(after.Certificate[0]) == string(before.Certificate[0]), qt.IsFalse)
	})
	c.Run("a half-written renewal is not used", func(c *qt.C) {
		before, _ := security.current()
		ours.write("host", "CERTIFICATE", []byte("half"))
		security.checkedAt, security.loadedAt = time.Time{}, time.Time{}
		after, _ := security.current()
		c.Assert(after, qt.Equals, before)
	})
}
