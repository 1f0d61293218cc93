package config

// UpstreamKind is the kind of server that runs on the VMs of an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)
