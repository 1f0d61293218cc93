package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// material is what one reading of the files gave.
type material struct {
	files       files
	pool        *x509.CertPool
	certificate tls.Certificate
}

func newMaterial(f files) (*material, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(f.ca) {
		return nil, fmt.Errorf("CA: %w", &PEMError{Want: "certificate"})
	}
	certificate, err := tls.X509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &material{files: f, pool: pool, certificate: certificate}, nil
}
