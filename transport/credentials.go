package transport

import "crypto/tls"

// Credentials provides the TLS configurations of a process. Each call may return
// renewed certificates. Both sides must verify the peer against the CA. The common
// name of a certificate is the id of the VM it was issued to.
type Credentials interface {
	ServerConfig() (*tls.Config, error)
	ClientConfig() (*tls.Config, error)
}
