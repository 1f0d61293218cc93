package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
)

// The types of PEM blocks.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// File modes of written files.
const (
	certificateMode = 0o644
	keyMode         = 0o600
)

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

func newPair(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fmt.Errorf("encode key: %w", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: raw}),
	}, nil
}

// Write replaces the files name.crt and name.key in dir. Each file is replaced
// atomically, but the two are not replaced together.
func (p Pair) Write(dir, name string) error {
	if err := replaceFile(CertificateFile(dir, name), p.Certificate, certificateMode); err != nil {
		return err
	}
	return replaceFile(KeyFile(dir, name), p.Key, keyMode)
}

// ReadPair reads the files written by Write.
func ReadPair(dir, name string) (Pair, error) {
	certificate, err := os.ReadFile(CertificateFile(dir, name))
	if err != nil {
		return Pair{}, fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(KeyFile(dir, name))
	if err != nil {
		return Pair{}, fmt.Errorf("read key: %w", err)
	}
	return Pair{Certificate: certificate, Key: key}, nil
}

// CertificateFile returns the path of a certificate written by Write.
func CertificateFile(dir, name string) string { return filepath.Join(dir, name+".crt") }

// KeyFile returns the path of a private key written by Write.
func KeyFile(dir, name string) string { return filepath.Join(dir, name+".key") }

// replaceFile replaces a file atomically: it writes a temporary file in the same
// directory and renames it.
func replaceFile(path string, content []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Chmod(mode)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}
