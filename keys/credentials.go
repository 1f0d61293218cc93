package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// credentials holds the file contents of one read and the values parsed from them.
type credentials struct {
	files       files
	pool        *x509.CertPool
	certificate tls.Certificate
}

func newCredentials(f files) (*credentials, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(f.ca) {
		return nil, fmt.Errorf("parse CA: %w", &PEMError{Want: "certificate"})
	}
	certificate, err := tls.X509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	return &credentials{files: f, pool: pool, certificate: certificate}, nil
}
