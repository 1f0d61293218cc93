package config

import (
	"cmp"
	"slices"
	"time"

	"github.com/laureltally/laureltally/ident"
)

// IngressSettings are the settings of laureltally-ingress.
type IngressSettings struct {
	VM     ident.VM     `json:"vm"`
	Region ident.Region `json:"region"`
	Zone   ident.Zone   `json:"zone"`
	// Zones lists the installation's availability zones.
	Zones []ZoneSettings `json:"zones"`
	// Listen is the IP address and TCP port for callers.
	Listen string `json:"listen"`
	// ReadinessListen is the IP address and TCP port that the load balancer probes.
	ReadinessListen string `json:"readiness_listen"`
	// AdminListen is the IP address and TCP port for metrics.
	AdminListen string `json:"admin_listen"`
	// SidecarPort is the UDP port of the sidecars, at their upstreams' addresses.
	SidecarPort int `json:"sidecar_port"`
	// MetadataStore is the IP address and TCP port of the metadata store.
	MetadataStore string `json:"metadata_store"`
	// RetryShare is the number of retries that each answered request adds to the
	// retry budget, over all routers. RetrySlack is the number of retries that
	// are allowed in addition.
	RetryShare float64 `json:"retry_share"`
	RetrySlack float64 `json:"retry_slack"`
	// RetryWindow is the time span over which RetrySlack is counted.
	RetryWindow Duration `json:"retry_window"`
	// RegistrationInterval is the interval at which upstream VMs renew their entries
	// in the VM list.
	RegistrationInterval Duration `json:"registration_interval"`
	// MaxConfigDelay is the maximum time from when the metadata store accepts a
	// configuration change until the change takes effect. MaxLeaveDelay is the
	// same for the leaving state of a VM.
	MaxConfigDelay Duration `json:"config_within"`
	MaxLeaveDelay  Duration `json:"leaving_within"`
	// RevokeStrict makes the ingress refuse requests with API keys while its newest
	// successful read of the configuration is too old to prove that a key was not
	// removed more than RevokeWithin ago.
	RevokeStrict bool     `json:"revoke_strict"`
	RevokeWithin Duration `json:"revoke_within"`
	// ShutdownTimeout is the time limit of a graceful shutdown.
	ShutdownTimeout Duration `json:"shutdown_timeout"`
	// MemoryMB is the memory of the VM in MB. A share of it may be buffered for callers.
	// Zero means that nothing limits what is buffered.
	MemoryMB float64 `json:"memory_mb"`
	// MaxFiles is the number of descriptors of the VM, a share of which callers may use. Zero
	// means the limit of the process. It has an effect only with MemoryMB.
	MaxFiles int         `json:"max_files"`
	Log      LogSettings `json:"log"`
}

func (s *IngressSettings) setDefaults() {
	s.RetryWindow = cmp.Or(s.RetryWindow, defaultRetryWindow)
	s.RegistrationInterval = cmp.Or(s.RegistrationInterval, defaultRegistrationInterval)
	s.RevokeWithin = cmp.Or(s.RevokeWithin, defaultRevokeWithin)
	s.Log.setDefaults()
}

// Defaults of IngressSettings, from the platform's specification.
const (
	defaultRetryWindow          = Duration(10 * time.Second)
	defaultRegistrationInterval = Duration(time.Second)
	defaultRevokeWithin         = Duration(5 * time.Second)
)

// minRevokeWithin is the least valid RevokeWithin: the ingress subtracts a margin of 100 ms,
// and has to read the configuration at least once within the rest.
const minRevokeWithin = Duration(500 * time.Millisecond)

func (s *IngressSettings) check(c *checker) {
	c.name("vm", string(s.VM))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	if !slices.Contains(s.Zones, ZoneSettings{Zone: s.Zone, Region: s.Region}) {
		c.report("zones", ProblemMissing, "the VM's own availability zone is not listed with its region")
	}
	c.address("listen", s.Listen)
	c.address("readiness_listen", s.ReadinessListen)
	c.address("admin_listen", s.AdminListen)
	atLeast(c, "sidecar_port", s.SidecarPort, 1)
	c.address("metadata_store", s.MetadataStore)
	within(c, "retry_share", s.RetryShare, 0, 1)
	within(c, "retry_slack", s.RetrySlack, 0, maxRetrySlack)
	positive(c, "retry_window", s.RetryWindow)
	positive(c, "registration_interval", s.RegistrationInterval)
	positive(c, "config_within", s.MaxConfigDelay)
	positive(c, "leaving_within", s.MaxLeaveDelay)
	atLeast(c, "revoke_within", s.RevokeWithin, minRevokeWithin)
	positive(c, "shutdown_timeout", s.ShutdownTimeout)
	if s.MemoryMB != 0 {
		within(c, "memory_mb", s.MemoryMB, minMemoryMB, maxMemoryMB)
	}
	if s.MaxFiles != 0 {
		within(c, "max_files", s.MaxFiles, minMaxFiles, maxMaxFiles)
	}
	s.Log.check(c)
}

// maxRetrySlack is the largest valid RetrySlack; it detects a value in the wrong
// unit.
const maxRetrySlack = 1e6

// Bounds of MemoryMB; they detect a value in the wrong unit.
const (
	minMemoryMB = 16
	maxMemoryMB = 16 << 20
)

// Bounds of MaxFiles. Files, the store, sidecars and upstreams need some.
const (
	minMaxFiles = 512
	maxMaxFiles = 1 << 30
)
