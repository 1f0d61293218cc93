package config

import (
	"fmt"
	"time"
)

// Bounds of an agent's report interval.
const (
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = 10 * time.Second
)

// Bounds of what a router holds for callers. A request with the largest body and its
// response always fit.
const (
	minConnections  = 16
	maxConnections  = 1 << 20
	minBodyMemoryMB = 16
	maxBodyMemoryMB = 1 << 20
)

// Check returns an *InvalidError with all problems of the settings, or nil.
func (s *RouterSettings) Check() error {
	c := &checker{}
	s.check(c)
	return c.err()
}

func (s *RouterSettings) check(c *checker) {
	c.name("vm", string(s.VM))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.address("listen", s.Listen)
	c.address("admin_listen", s.AdminListen)
	c.address("peer_listen", s.PeerListen)
	c.httpURL("platform", s.Platform)
	if len(s.Environments) == 0 {
		c.report("environments", ProblemMissing, "an environment is needed")
	}
	seen := make(map[string]bool)
	for i, e := range s.Environments {
		c.unique(fmt.Sprintf("environments[%d]", i), string(e), seen)
	}
	s.TLS.check(c)
	s.Log.check(c)
	within(c, "max_connections", s.MaxConnections, minConnections, maxConnections)
	within(c, "body_memory_mb", s.BodyMemoryMB, minBodyMemoryMB, maxBodyMemoryMB)
	positive(c, "balancer_notice", s.ShutdownDelay)
	positive(c, "shutdown_timeout", s.ShutdownTimeout)
}

// Check returns an *InvalidError with all problems of the settings, or nil.
func (s *AgentSettings) Check() error {
	c := &checker{}
	s.check(c)
	return c.err()
}

func (s *AgentSettings) check(c *checker) {
	c.name("vm", string(s.VM))
	c.name("region", string(s.Region))
	c.name("zone", string(s.Zone))
	c.name("environment", string(s.Environment))
	c.name("upstream", string(s.Upstream))
	c.oneOf("kind", string(s.Kind), string(KindEngine), string(KindService))
	c.httpURL("upstream_url", s.UpstreamURL)
	if s.Kind == KindEngine {
		positive(c, "memory_mb", s.MemoryMB)
	}
	atLeast(c, "concurrency", s.Concurrency, 1)
	c.address("peer_listen", s.PeerListen)
	c.address("admin_listen", s.AdminListen)
	c.httpURL("platform", s.Platform)
	s.TLS.check(c)
	s.Log.check(c)
	within(c, "report_interval", time.Duration(s.ReportInterval), minReportInterval, maxReportInterval)
	positive(c, "shutdown_timeout", s.ShutdownTimeout)
}

func (t *TLSSettings) check(c *checker) {
	c.file("tls.ca", t.CA)
	c.file("tls.cert", t.Cert)
	c.file("tls.key", t.Key)
}

func (l *LogSettings) check(c *checker) {
	c.oneOf("log.format", l.Format, LogFormatJSON, LogFormatText)
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
}
