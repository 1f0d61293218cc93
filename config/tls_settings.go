package config

// TLSSettings holds the paths of a process's certificate, its private key and the
// certificate of the CA that signs all processes' certificates, all in PEM.
type TLSSettings struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}
