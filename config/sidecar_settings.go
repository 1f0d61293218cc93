package config

import "github.com/laureltally/laureltally/ident"

// SidecarSettings are the settings of laureltally-sidecar.
type SidecarSettings struct {
	VM     ident.VM     `json:"vm"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	// Service is the upstream of the engine that the sidecar manages.
	Service ident.Upstream `json:"service"`
	// EngineAddress is the IP address and TCP port of that engine.
	EngineAddress string `json:"engine_address"`
	// PeerListen is the IP address and UDP port that routers connect to.
	PeerListen string `json:"peer_listen"`
	// AdminListen is the IP address and TCP port for metrics.
	AdminListen string `json:"admin_listen"`
	// MetadataStore is the IP address and TCP port of the metadata store.
	MetadataStore string `json:"metadata_store"`
	// FirstStart is set on the first start of the whole installation, when no other
	// process can have sent orders.
	FirstStart bool `json:"first_start"`
	// OrderLease is how long orders of a previous owner of the engine may still take
	// effect. A sidecar that replaces an owner on another VM waits this long before
	// it sends orders.
	OrderLease Duration    `json:"order_lease"`
	Log        LogSettings `json:"log"`
}

func (s *SidecarSettings) setDefaults() { s.Log.setDefaults() }

func (s *SidecarSettings) check(c *checker) {
	c.name("vm", string(s.VM))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.name("service", string(s.Service))
	c.address("engine_address", s.EngineAddress)
	c.address("peer_listen", s.PeerListen)
	c.address("admin_listen", s.AdminListen)
	c.address("metadata_store", s.MetadataStore)
	positive(c, "order_lease", s.OrderLease)
	s.Log.check(c)
}
