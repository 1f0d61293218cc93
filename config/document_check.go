package config

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/laureltally/laureltally/ident"
)

const (
	// maxBodyBytes is the largest valid Limits.MaxBodyBytes.
	maxBodyBytes = 8 << 20
	// keyBytes is the length of the SHA-256 hash of a caller's key.
	keyBytes = 32
)

// Check returns an *InvalidError with all problems of the document, or nil.
func (d *Document) Check() error {
	c := &checker{}
	d.check(c)
	return c.err()
}

func (d *Document) check(c *checker) {
	c.name("environment", string(d.Environment))
	d.checkAim(c)
	d.checkRegions(c)
	d.checkPriorities(c)
	d.checkUpstreams(c)
	d.checkModels(c)
	d.checkServices(c)
	d.checkCallers(c)
	positive(c, "weight_store.loads_per_second", d.Store.LoadsPerSecond)
	atLeast(c, "weight_store.parallel_loads", d.Store.ParallelLoads, 1)
	atLeast(c, "weight_store.parallel_adapters", d.Store.ParallelAdapters, 1)
	d.checkLimits(c)
}

func (d *Document) checkAim(c *checker) {
	atLeast(c, "aim.cold_start", d.Aim.ColdStart, 0)
	atLeast(c, "aim.idle_hours", d.Aim.IdleHours, 0)
	if d.Aim.ColdStart == 0 && d.Aim.IdleHours == 0 {
		c.report("aim", ProblemRange, "one of the weights must be positive")
	}
}

func (d *Document) checkRegions(c *checker) {
	if len(d.Regions) == 0 {
		c.report("regions", ProblemMissing, "a region is needed")
	}
	regions, zones := make(map[string]bool), make(map[string]bool)
	for i, r := range d.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.unique(path+".name", string(r.Name), regions)
		if len(r.Zones) == 0 {
			c.report(path+".zones", ProblemMissing, "an availability zone is needed")
		}
		for j, z := range r.Zones {
			c.unique(fmt.Sprintf("%s.zones[%d]", path, j), string(z), zones)
		}
	}
}

func (d *Document) checkPriorities(c *checker) {
	if len(d.Priorities) == 0 {
		c.report("priorities", ProblemMissing, "a priority is needed")
	}
	seen := make(map[string]bool)
	for i, p := range d.Priorities {
		c.unique(fmt.Sprintf("priorities[%d]", i), p, seen)
	}
}

func (d *Document) checkUpstreams(c *checker) {
	seen := make(map[string]bool)
	for i, u := range d.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.unique(path+".name", string(u.Name), seen)
		c.oneOf(path+".kind", string(u.Kind), string(KindEngine), string(KindService))
		atLeast(c, path+".replicas", u.Replicas, 1)
		if u.Kind == KindEngine {
			positive(c, path+".memory_mb", u.MemoryMB)
		} else if u.MemoryMB != 0 {
			c.report(path+".memory_mb", ProblemRange, "only engines have accelerator memory")
		}
	}
}

// upstream returns the group with the given name and kind, if there is one.
func (d *Document) upstream(name ident.Upstream, kind UpstreamKind) (UpstreamGroup, bool) {
	i := slices.IndexFunc(d.Upstreams, func(u UpstreamGroup) bool { return u.Name == name && u.Kind == kind })
	if i < 0 {
		return UpstreamGroup{}, false
	}
	return d.Upstreams[i], true
}

func (d *Document) checkModels(c *checker) {
	// Models and adapters share one namespace, since callers request either by
	// name.
	names := make(map[string]bool)
	for i := range d.Models {
		d.checkModel(c, fmt.Sprintf("models[%d]", i), &d.Models[i], names)
	}
}

func (d *Document) checkModel(c *checker, path string, m *Model, names map[string]bool) {
	c.unique(path+".name", string(m.Name), names)
	c.reference(path+".priority", m.Priority, "priority", slices.Contains(d.Priorities, m.Priority))
	positive(c, path+".memory_mb", m.MemoryMB)
	atLeast(c, path+".kv_cache_mb", m.KVCacheMB, 0)
	atLeast(c, path+".concurrency", m.Concurrency, 1)
	u, ok := d.upstream(m.Upstream, KindEngine)
	c.reference(path+".upstream", string(m.Upstream), "engine upstream", ok)
	if !ok || u.Replicas < 1 || u.MemoryMB < 1 {
		// An invalid group sets no limits.
		atLeast(c, path+".max_replicas", m.MaxReplicas, 1)
		return
	}
	within(c, path+".max_replicas", m.MaxReplicas, 1, u.Replicas)
	replicaMB := m.MemoryMB + m.KVCacheMB
	if replicaMB > u.MemoryMB {
		c.report(path+".memory_mb", ProblemRange, fmt.Sprintf("weights and KV cache take %d MiB of %d", replicaMB, u.MemoryMB))
	}
	for i, a := range m.Adapters {
		d.checkAdapter(c, fmt.Sprintf("%s.adapters[%d]", path, i), a, u.MemoryMB-replicaMB, names)
	}
}

// checkAdapter checks an adapter. freeMB is the accelerator memory that its
// model leaves free, in MiB.
func (d *Document) checkAdapter(c *checker, path string, a Adapter, freeMB int64, names map[string]bool) {
	c.unique(path+".name", string(a.Name), names)
	within(c, path+".memory_mb", a.MemoryMB, 0, max(0, freeMB))
	if a.Priority != "" {
		c.reference(path+".priority", a.Priority, "priority", slices.Contains(d.Priorities, a.Priority))
	}
}

func (d *Document) checkServices(c *checker) {
	seen := make(map[string]bool)
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.unique(path+".name", string(s.Name), seen)
		_, ok := d.upstream(s.Upstream, KindService)
		c.reference(path+".upstream", string(s.Upstream), "service upstream", ok)
		c.reference(path+".priority", s.Priority, "priority", slices.Contains(d.Priorities, s.Priority))
		for j, r := range s.Routes {
			checkRoute(c, fmt.Sprintf("%s.routes[%d]", path, j), r)
		}
	}
}

func checkRoute(c *checker, path string, r Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		c.report(path+".path_prefix", ProblemRange, "path must start with a slash")
	}
	for i, m := range r.Methods {
		c.oneOf(fmt.Sprintf("%s.methods[%d]", path, i), m, http.MethodGet, http.MethodHead, http.MethodOptions,
			http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete)
	}
}

func (d *Document) checkCallers(c *checker) {
	names, hashes := make(map[string]bool), make(map[string]bool)
	for i, caller := range d.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.unique(path+".name", caller.Name, names)
		checkKey(c, path+".key_sha256", caller.KeySHA256, hashes)
		atLeast(c, path+".requests_per_second", caller.RequestsPerSecond, 0)
		atLeast(c, path+".burst", caller.Burst, 0)
	}
}

func checkKey(c *checker, path, hash string, seen map[string]bool) {
	raw, err := hex.DecodeString(hash)
	switch {
	case err != nil || len(raw) != keyBytes || strings.ToLower(hash) != hash:
		c.report(path, ProblemRange, "expected a SHA-256 sum in lower-case hexadecimal")
	case seen[hash]:
		c.report(path, ProblemDuplicate, "two callers share a key")
	}
	seen[hash] = true
}

func (d *Document) checkLimits(c *checker) {
	l := d.Limits
	positive(c, "limits.requests_per_second", l.RequestsPerSecond)
	atLeast(c, "limits.burst", l.Burst, 1)
	positive(c, "limits.default_deadline", l.DefaultDeadline)
	positive(c, "limits.max_deadline", l.MaxDeadline)
	if l.DefaultDeadline > l.MaxDeadline {
		c.report("limits.default_deadline", ProblemRange, "longer than max_deadline")
	}
	within(c, "limits.max_body_bytes", l.MaxBodyBytes, 1, maxBodyBytes)
	positive(c, "limits.claim_window", l.KeyRetention)
}
