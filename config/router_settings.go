package config

import "github.com/laureltally/laureltally/ident"

// RouterSettings are the settings of laureltally-router.
type RouterSettings struct {
	VM     ident.VM     `json:"vm"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	// Listen is the IP address and TCP port for callers.
	Listen string `json:"listen"`
	// AdminListen is the IP address and TCP port for metrics, health checks and
	// status.
	AdminListen string `json:"admin_listen"`
	// PeerListen is the IP address and UDP port for other processes.
	PeerListen string `json:"peer_listen"`
	// Platform is the base URL of the platform's object API.
	Platform     string              `json:"platform"`
	Environments []ident.Environment `json:"environments"`
	TLS          TLSSettings         `json:"tls"`
	Log          LogSettings         `json:"log"`
	// ShutdownDelay is how long a router that shuts down continues to accept
	// requests after /readyz reports that it isn't ready, so that the load balancer
	// can detect it.
	ShutdownDelay Duration `json:"balancer_notice"`
	// MaxConnections is the maximum number of callers' connections.
	MaxConnections int `json:"max_connections,omitempty"`
	// BodyMemoryMB limits the bodies of requests and responses that are held at the same
	// time, in MiB, without the first 16 KiB of each request.
	BodyMemoryMB int64 `json:"body_memory_mb,omitempty"`
	// ShutdownTimeout is the time limit of a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdown_timeout"`
}
