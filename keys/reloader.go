package keys

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
)

// Reloader gives TLS configurations from files and follows their renewal. It is
// safe for concurrent use.
type Reloader struct {
	o ReloaderOptions

	mu      sync.Mutex
	current *material
	checked time.Time
}

// NewReloader reads the files, which must be usable at the start. Later, files
// that are not usable are logged and the last usable ones stay in force.
func NewReloader(o ReloaderOptions) (*Reloader, error) {
	if o.CheckInterval == 0 {
		o.CheckInterval = DefaultCheckInterval
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = log.Log
	}
	f, err := readFiles(o)
	if err != nil {
		return nil, err
	}
	m, err := newMaterial(f)
	if err != nil {
		return nil, err
	}
	return &Reloader{o: o, current: m, checked: o.Now()}, nil
}

// ServerConfig returns the configuration of the accepting end. It demands a
// certificate of the authority from the client. A renewed certificate reaches
// new connections; the authority is that of this call.
func (r *Reloader) ServerConfig() (*tls.Config, error) {
	m := r.material()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  m.pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.material().certificate, nil
		},
	}, nil
}

// ClientConfig returns the configuration of the dialing end. It accepts any
// server with a certificate of the authority, whatever its address; the caller
// compares PeerVM with the VM that it meant to reach. Renewed files reach new
// connections.
func (r *Reloader) ClientConfig() (*tls.Config, error) {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The chain is verified in VerifyConnection; only the check of the
		// host name is left out.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.material().certificate, nil
		},
	}, nil
}

// PeerVM returns the VM that a verified peer's certificate was issued to.
func PeerVM(s tls.ConnectionState) (ident.VM, error) {
	if len(s.PeerCertificates) == 0 {
		return "", &PeerError{}
	}
	return ident.VM(s.PeerCertificates[0].Subject.CommonName), nil
}

// verifyServer checks the server's chain against the authority.
func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return &PeerError{}
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.material().pool,
		Intermediates: intermediates,
		CurrentTime:   r.o.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &PeerError{Err: err}
	}
	return nil
}

// material returns what is in force, after a look at the files if one is due.
func (r *Reloader) material() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Now()
	if now.Sub(r.checked) < r.o.CheckInterval {
		return r.current
	}
	r.checked = now
	if err := r.reload(); err != nil {
		r.o.Logger.WithError(err).Warn("renewed certificate not usable yet")
	}
	return r.current
}

// reload reads the files. After a failure they are tried again at the next
// look, since files are replaced one after the other. The caller holds mu.
func (r *Reloader) reload() error {
	f, err := readFiles(r.o)
	if err != nil || f.equal(r.current.files) {
		return err
	}
	m, err := newMaterial(f)
	if err != nil {
		return err
	}
	r.current = m
	r.o.Logger.WithField("certificate", r.o.Certificate).Info("certificate renewed")
	return nil
}
