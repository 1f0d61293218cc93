package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"strings"
	"time"

	"github.com/laureltally/laureltally/ident"
)

const (
	// clockSkew is how long before its creation a certificate becomes valid, to
	// tolerate clock differences between VMs.
	clockSkew = 5 * time.Minute
	// serialBits is the maximum length of a serial number.
	serialBits = 127
	// maxNameBytes is the maximum length of a common name in X.509.
	maxNameBytes = 64
)

// Authority signs the certificates of VMs.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        Pair
}

// NewAuthority creates an authority with a new key.
func NewAuthority(o AuthorityOptions) (*Authority, error) {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultAuthorityLifetime
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(o.Name, o.Lifetime, o.Now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	pair, err := newPair(der, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority parses an authority from its certificate and key. It returns a
// *PEMError if p lacks a certificate or the ECDSA key that belongs to it.
func ParseAuthority(p Pair) (*Authority, error) {
	certificateBlock, _ := pem.Decode(p.Certificate)
	if certificateBlock == nil || certificateBlock.Type != blockCertificate {
		return nil, &PEMError{Want: "certificate"}
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	keyBlock, _ := pem.Decode(p.Key)
	if keyBlock == nil || keyBlock.Type != blockKey {
		return nil, &PEMError{Want: "private key"}
	}
	raw, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse authority key: %w", err)
	}
	key, ok := raw.(*ecdsa.PrivateKey)
	if !ok || !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, &PEMError{Want: "ECDSA key of the authority's certificate"}
	}
	return &Authority{certificate: certificate, key: key, pair: p}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue creates a key and a certificate for a VM, valid for server and client
// authentication. It returns a *NameError if the VM id is invalid.
func (a *Authority) Issue(o IssueOptions) (Pair, error) {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultLifetime
	}
	if err := checkVM(o.VM); err != nil {
		return Pair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fmt.Errorf("generate key: %w", err)
	}
	template, err := newTemplate(string(o.VM), o.Lifetime, o.Now)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, address := range o.Addresses {
		template.IPAddresses = append(template.IPAddresses, net.IP(address.AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, fmt.Errorf("sign certificate of %s: %w", o.VM, err)
	}
	return newPair(der, key)
}

// checkVM returns a *NameError if vm can't be a common name and a file name.
func checkVM(vm ident.VM) error {
	name := string(vm)
	if name == "" || len(name) > maxNameBytes || name == "." || name == ".." || strings.ContainsAny(name, "/\\\x00") {
		return &NameError{Name: name}
	}
	return nil
}

func newTemplate(name string, lifetime time.Duration, now func() time.Time) (*x509.Certificate, error) {
	if now == nil {
		now = time.Now
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	start := now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    start.Add(-clockSkew),
		NotAfter:     start.Add(lifetime),
	}, nil
}
