package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// material is what one reading of the files gave.
type material struct {
	pool        *x509.CertPool
	certificate tls.Certificate
}

func readMaterial(o ReloaderOptions) (*material, error) {
	ca, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, fmt.Errorf("read CA: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("read CA %s: %w", o.CA, &PEMError{Want: "certificate"})
	}
	certificate, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
	if err != nil {
		return nil, fmt.Errorf("read certificate %s: %w", o.Certificate, err)
	}
	return &material{pool: pool, certificate: certificate}, nil
}
