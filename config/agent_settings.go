package config

import "github.com/laureltally/laureltally/ident"

// AgentSettings are the settings of laureltally-agent.
type AgentSettings struct {
	VM          ident.VM          `json:"vm"`
	Region      ident.Region      `json:"region"`
	Zone        ident.Zone        `json:"zone"`
	Environment ident.Environment `json:"environment"`
	Upstream    ident.Upstream    `json:"upstream"`
	Kind        UpstreamKind      `json:"kind"`
	// UpstreamURL is the base URL of the engine or service beside the agent.
	UpstreamURL string `json:"upstream_url"`
	// MemoryMB is the accelerator memory of the engine, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// Concurrency is how many calls a plain service takes at once.
	Concurrency int `json:"concurrency"`
	// PeerListen is the IP address and UDP port for routers.
	PeerListen string `json:"peer_listen"`
	// AdminListen serves metrics and health; IP address and TCP port.
	AdminListen    string      `json:"admin_listen"`
	Platform       string      `json:"platform"`
	TLS            TLSSettings `json:"tls"`
	Log            LogSettings `json:"log"`
	ReportInterval Duration    `json:"report_interval"`
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdown_timeout"`
}
