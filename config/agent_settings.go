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
	// UpstreamURL is the base URL of the engine or service that the agent manages.
	UpstreamURL string `json:"upstream_url"`
	// MemoryMB is the accelerator memory of the engine, in MiB.
	MemoryMB int64 `json:"memory_mb"`
	// Concurrency is the maximum number of concurrent requests to a plain service.
	Concurrency int `json:"concurrency"`
	// PeerListen is the IP address and UDP port that routers connect to.
	PeerListen string `json:"peer_listen"`
	// AdminListen is the IP address and TCP port for metrics and health checks.
	AdminListen    string      `json:"admin_listen"`
	Platform       string      `json:"platform"`
	TLS            TLSSettings `json:"tls"`
	Log            LogSettings `json:"log"`
	ReportInterval Duration    `json:"report_interval"`
	// ShutdownTimeout is the time limit of a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdown_timeout"`
}
