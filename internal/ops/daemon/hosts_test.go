package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestHostsAddAndRemove adds a fourth voter under load, removes the leader, and kills the next leader: the group must still have
// a quorum.
func TestHostsAddAndRemove(t *testing.T) {
	cl := mustCluster(t, fewVoters)
	added := fewVoters
	cl.underLoad(8*time.Second, func() {
		cl.kill(added)
		cl.writeSettings(added, true)
		cl.startHost(added)
		cl.eventually("added", func() bool { return cl.run("hosts", "add", cl.host[added].peers) == nil })
		cl.mustRun("hosts", "add", cl.host[added].peers)
		s, ok := cl.status()
		cl.c.Assert(ok, qt.IsTrue)
		cl.c.Assert(s.Members, qt.HasLen, fewVoters+1)
		leader := cl.leaderIndex()
		cl.eventually("removed", func() bool { return cl.run("hosts", "remove", cl.host[leader].peers) == nil })
		cl.c.Assert(cl.run("hosts", "remove", "127.0.0.1:1"), qt.IsNotNil)
		cl.kill(leader)
		cl.eventually("three members with full redundancy", func() bool {
			s, ok = cl.status()
			return ok && len(s.Members) == fewVoters && s.FullRedundancy
		})
		cl.kill(cl.leaderIndex())
	})
	cl.eventually("a leader after the loss", func() bool { _, ok := cl.status(); return ok })
	cl.mustRun("publish", "../../../_fixtures/services")
}

// TestMutualTLS runs hosts and operators with certificates. An operator without a certificate, or with one of another authority,
// gets no answer, and the host logs the rejected connection.
func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	ours, others := mustAuthority(c, t.TempDir(), "ours"), mustAuthority(c, t.TempDir(), "others")
	cl := newCluster(t, fewVoters)
	cl.security = ours.security()
	cl.startAll()
	cl.mustRun("status")
	cl.security = nil
	c.Assert(cl.run("--timeout", "2s", "status"), qt.ErrorMatches, "(?s).*no control leader answered.*")
	cl.security = others.security()
	c.Assert(cl.run("--timeout", "2s", "status"), qt.ErrorMatches, "(?s).*no control leader answered.*")
	cl.security = ours.security()
	cl.underLoad(3*time.Second, func() { cl.kill(cl.leaderIndex()) })
	log, err := os.ReadFile(filepath.Join(cl.folder, "host0.log"))
	c.Assert(err, qt.IsNil)
	c.Assert(string(log), qt.Contains, `"event":1101`)
}

// authority is a certificate authority with one certificate that all hosts and operators of a test use.
type authority struct {
	c           *qt.C
	folder      string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// mustAuthority creates an authority and writes its files to the folder.
func mustAuthority(c *qt.C, folder, name string) *authority {
	c.Helper()
	a := &authority{c: c, folder: folder, key: mustKey(c)}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign}
	a.certificate = a.mustSign("authority", template, template, a.key)
	key := mustKey(c)
	leaf := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "host"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	a.mustSign("certificate", leaf, a.certificate, key)
	der, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	a.mustWrite("key", "EC PRIVATE KEY", der)
	return a
}

func mustKey(c *qt.C) *ecdsa.PrivateKey {
	c.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	return key
}

func (a *authority) mustSign(name string, template, parent *x509.Certificate, key *ecdsa.PrivateKey) *x509.Certificate {
	a.c.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), a.key)
	a.c.Assert(err, qt.IsNil)
	a.mustWrite(name, "CERTIFICATE", der)
	certificate, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	return certificate
}

func (a *authority) mustWrite(name, kind string, der []byte) {
	a.c.Helper()
	a.c.Assert(os.WriteFile(a.file(name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
}

func (a *authority) file(name string) string { return filepath.Join(a.folder, name+".pem") }

func (a *authority) security() *clusterSecurity {
	return &clusterSecurity{certificate: a.file("certificate"), key: a.file("key"), authority: a.file("authority")}
}

// clusterSecurity holds the paths of the TLS files that hosts and operators of a cluster use.
type clusterSecurity struct {
	certificate, key, authority string
}

// settings returns the [tls] section of the settings file.
func (s *clusterSecurity) settings() string {
	if s == nil {
		return ""
	}
	return fmt.Sprintf("[tls]\ncertificate = %s\nkey = %s\nauthority = %s\n", s.certificate, s.key, s.authority)
}

// options returns the TLS flags of an operator's command.
func (s *clusterSecurity) options() []string {
	if s == nil {
		return nil
	}
	return strings.Fields(fmt.Sprintf("--certificate %s --key %s --ca %s", s.certificate, s.key, s.authority))
}
