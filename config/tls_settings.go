package config

// TLSSettings names the files of a process's certificate, its key and the CA
// that signs every process of the system, all in PEM.
type TLSSettings struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}
