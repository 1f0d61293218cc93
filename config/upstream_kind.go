package config

// UpstreamKind tells what runs on the VMs of an upstream.
type UpstreamKind string

// The kinds of upstreams.
const (
	KindEngine  UpstreamKind = "engine"
	KindService UpstreamKind = "service"
)
