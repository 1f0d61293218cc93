package keys

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/laureltally/laureltally/ident"
)

// Reloader provides TLS configurations from certificate files and reloads the files
// when they change. It is safe for concurrent use.
type Reloader struct {
	o ReloaderOptions

	mu      sync.Mutex
	current *credentials
	checked time.Time
}

// NewReloader returns a Reloader for the given files. It fails if they are invalid.
// If a later reload fails, the failure is logged and the last valid files remain in
// use.
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
	c, err := newCredentials(f)
	if err != nil {
		return nil, err
	}
	return &Reloader{o: o, current: c, checked: o.Now()}, nil
}

// ServerConfig returns the configuration of the server side. It requires a client
// certificate signed by the authority. New connections use a renewed certificate,
// but the authority that was loaded at the time of this call.
func (r *Reloader) ServerConfig() (*tls.Config, error) {
	c := r.credentials()
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  c.pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &r.credentials().certificate, nil
		},
	}, nil
}

// ClientConfig returns the configuration of the client side. It accepts any server
// whose certificate is signed by the authority, at any address; the caller must
// compare PeerVM with the VM that it intended to reach. New connections use renewed
// files.
func (r *Reloader) ClientConfig() (*tls.Config, error) {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the certificate chain; only the host name is
		// not verified.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &r.credentials().certificate, nil
		},
	}, nil
}

// PeerVM returns the VM that a verified peer's certificate was issued to. It returns
// a *PeerError if the peer has no certificate.
func PeerVM(s tls.ConnectionState) (ident.VM, error) {
	if len(s.PeerCertificates) == 0 {
		return "", &PeerError{}
	}
	return ident.VM(s.PeerCertificates[0].Subject.CommonName), nil
}

// verifyServer verifies the server's certificate chain against the authority.
func (r *Reloader) verifyServer(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return &PeerError{}
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         r.credentials().pool,
		Intermediates: intermediates,
		CurrentTime:   r.o.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return &PeerError{Err: err}
	}
	return nil
}

// credentials returns the current credentials. It reloads the files first if
// CheckInterval has passed since the last check.
func (r *Reloader) credentials() *credentials {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Now()
	if now.Sub(r.checked) < r.o.CheckInterval {
		return r.current
	}
	r.checked = now
	if err := r.reload(); err != nil {
		r.o.Logger.WithError(err).Warn("certificate reload failed, keeping the previous files")
	}
	return r.current
}

// reload reads the files and uses them if they have changed. A failure may be
// temporary, since the files are replaced one after the other; the next check tries
// again. The caller must hold mu.
func (r *Reloader) reload() error {
	f, err := readFiles(r.o)
	if err != nil || f.equal(r.current.files) {
		return err
	}
	c, err := newCredentials(f)
	if err != nil {
		return err
	}
	r.current = c
	r.o.Logger.WithField("certificate", r.o.Certificate).Info("certificate renewed")
	return nil
}
