package wire

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadPeriod is how often the certificate files are looked at for change.
const reloadPeriod = 10 * time.Second

// Security is mutual TLS from files, read again once they change.
type Security struct {
	certificateFile string
	keyFile         string
	authorityFile   string
	onRefused       func(error)
	mutex           sync.Mutex
	loadedAt        time.Time
	checkedAt       time.Time
	certificate     *tls.Certificate
	authorities     *x509.CertPool
}

// NewSecurity reads the certificate, key and authority files; onRefused hears of each peer that is turned away.
func NewSecurity(certificateFile, keyFile, authorityFile string, onRefused func(error)) (s *Security, err error) {
	s = &Security{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile, onRefused: onRefused}
	return s, s.load()
}

// ServerConfig returns the configuration of a listener that demands a certificate of each peer.
func (s *Security) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, authorities := s.current()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate},
			ClientAuth: tls.RequireAnyClientCert, VerifyConnection: func(state tls.ConnectionState) error {
				return s.verify(state, authorities, x509.ExtKeyUsageClientAuth)
			}}, nil
	}}
}

// clientConfig verifies the peer against the authority but not by host name, as hosts are known by IP address.
func (s *Security) clientConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			_, authorities := s.current()
			return s.verify(state, authorities, x509.ExtKeyUsageServerAuth)
		}}
}

// ErrPeerRejected is returned for a peer whose certificate the authority did not sign.
type ErrPeerRejected struct {
	Cause error
}

// Error returns the message.
func (e *ErrPeerRejected) Error() string { return "peer refused: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrPeerRejected) Unwrap() error { return e.Cause }

func (s *Security) verify(state tls.ConnectionState, authorities *x509.CertPool, usage x509.ExtKeyUsage) (err error) {
	if len(state.PeerCertificates) == 0 {
		return &ErrPeerRejected{Cause: errors.New("no certificate")}
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authorities, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{usage}})
	if err == nil {
		return nil
	}
	refused := &ErrPeerRejected{Cause: err}
	if s.onRefused != nil {
		s.onRefused(refused)
	}
	return refused
}

func (s *Security) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.checkedAt) > reloadPeriod && s.changed() {
		_ = s.loadLocked()
	}
	return s.certificate, s.authorities
}

func (s *Security) changed() bool {
	s.checkedAt = time.Now()
	for _, name := range []string{s.certificateFile, s.keyFile, s.authorityFile} {
		info, err := os.Stat(name)
		if err == nil && info.ModTime().After(s.loadedAt) {
			return true
		}
	}
	return false
}

func (s *Security) load() (err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loadLocked()
}

// loadLocked keeps what is in force when the files do not fit together yet.
func (s *Security) loadLocked() (err error) {
	defer func() { err = errors.WithMessage(err, "load certificates") }()
	loadedAt := time.Now()
	certificate, err := tls.LoadX509KeyPair(s.certificateFile, s.keyFile)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(s.authorityFile)
	if err != nil {
		return err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return errors.Errorf("%s holds no certificate", s.authorityFile)
	}
	s.certificate, s.authorities, s.loadedAt, s.checkedAt = &certificate, authorities, loadedAt, loadedAt
	return nil
}
