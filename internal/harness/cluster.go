package harness

import (
	"context"
	"encoding/json"
	"fmt"

	"os"
	"path/filepath"
	"time"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
	"github.com/laureltally/laureltally/standin"
)

// Cluster is a set of processes on loopback: the stand-ins, the agents and the
// routers.
type Cluster struct {
	o   Options
	dir string
	ca  *keys.Authority

	Platform    *Process
	Engines     []*Process
	Service     *Process
	Agents      []*Process
	Routers     []*Process
	Middleboxes []*Middlebox

	// PlatformURL, EngineURLs and ServiceURL are the base URLs of the stand-ins.
	// RouterURLs are the routers' base URLs for callers, AdminURLs those for
	// operators.
	PlatformURL string
	EngineURLs  []string
	ServiceURL  string
	RouterURLs  []string
	AdminURLs   []string
}

// readyTimeout bounds the wait for all routers to be ready, after all processes have
// been started.
const readyTimeout = 30 * time.Second

// New returns a cluster without running processes. The caller must call Close.
func New(o Options) *Cluster { return &Cluster{o: o} }

// Start starts the stand-ins, the agents and the routers, and waits until every
// router is ready to serve.
func (c *Cluster) Start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "laureltally-harness-")
	if err != nil {
		return fmt.Errorf("create directory: %w", err)
	}
	c.dir = dir
	for _, step := range []func(context.Context) error{
		c.startAuthority, c.startPlatform, c.startUpstreams, c.startAgents, c.startRouters, c.awaitReady,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Dir returns the directory of the log files.
func (c *Cluster) Dir() string { return c.dir }

// Close kills all processes that still run and removes the files.
func (c *Cluster) Close() {
	for _, p := range c.processes() {
		if p != nil && p.cmd != nil && p.Running() {
			p.Kill()
		}
	}
	for _, b := range c.Middleboxes {
		b.Close()
	}
	_ = os.RemoveAll(c.dir)
}

func (c *Cluster) processes() []*Process {
	all := []*Process{c.Platform, c.Service}
	all = append(all, c.Engines...)
	all = append(all, c.Agents...)
	return append(all, c.Routers...)
}

func (c *Cluster) startAuthority(context.Context) error {
	ca, err := keys.NewAuthority(keys.AuthorityOptions{Name: "harness"})
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	c.ca = ca
	return ca.Pair().Write(c.dir, "ca")
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	c.Platform = c.process("platform", "laureltally-standin", "platform")
	address, err := c.Platform.start(true)
	if err != nil {
		return err
	}
	c.PlatformURL = "http://" + address
	client, err := objecthttp.New(objecthttp.Options{BaseURL: c.PlatformURL})
	if err != nil {
		return fmt.Errorf("create platform client: %w", err)
	}
	text, err := documentText(c.o.Engines)
	if err != nil {
		return err
	}
	_, err = document.New(document.Options{Store: client}).Apply(ctx, document.Update{
		Environment: Environment, Stage: document.StageProduction, Text: text, Actor: "harness", Reason: "start",
	})
	if err != nil {
		return fmt.Errorf("apply document: %w", err)
	}
	return nil
}

func (c *Cluster) startUpstreams(context.Context) error {
	for i := range c.o.Engines {
		args := []string{"engine", "--memory-mb", fmt.Sprint(engineMemoryMB), "--tokens-per-second", fmt.Sprint(c.o.TokensPerSecond), "--first-token", c.o.TimeToFirstToken.String(), "--load-remote", "800ms"}
		if !c.o.IgnoreFences {
			args = append(args, "--checks-fences")
		}
		p := c.process(fmt.Sprintf("engine-%d", i), "laureltally-standin", args...)
		address, err := p.start(true)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, p)
		c.EngineURLs = append(c.EngineURLs, "http://"+address)
	}
	c.Service = c.process("service", "laureltally-standin", "service")
	address, err := c.Service.start(true)
	if err != nil {
		return err
	}
	c.ServiceURL = "http://" + address
	return nil
}

func (c *Cluster) startAgents(ctx context.Context) error {
	for i, url := range c.EngineURLs {
		s := config.AgentSettings{Upstream: drafting, Kind: config.KindEngine, UpstreamURL: url, MemoryMB: engineMemoryMB, Concurrency: engineConcurrency}
		if err := c.startAgent(ctx, fmt.Sprintf("agent-%d", i), s); err != nil {
			return err
		}
	}
	s := config.AgentSettings{Upstream: portal, Kind: config.KindService, UpstreamURL: c.ServiceURL, Concurrency: serviceConcurrency}
	return c.startAgent(ctx, "agent-portal", s)
}

func (c *Cluster) startAgent(ctx context.Context, name string, s config.AgentSettings) error {
	udp, err := freePort("udp")
	if err != nil {
		return err
	}
	tcp, err := freePort("tcp")
	if err != nil {
		return err
	}
	middlebox, err := NewMiddlebox(udp)
	if err != nil {
		return err
	}
	c.Middleboxes = append(c.Middleboxes, middlebox)
	s.VM, s.Region, s.Zone, s.Environment = ident.VM(name), Region, Zone, Environment
	s.PeerListen, s.AdminListen, s.Platform = udp, tcp, c.PlatformURL
	s.TLS, err = c.issue(name)
	if err != nil {
		return err
	}
	s.Log = config.LogSettings{Format: "text", Level: "info"}
	s.ReportInterval = config.Duration(100 * time.Millisecond)
	s.ShutdownTimeout = config.Duration(20 * time.Second)
	p, err := c.daemon(name, "laureltally-agent", s)
	if err != nil {
		return err
	}
	c.Agents = append(c.Agents, p)
	return c.PutVM(ctx, metastore.VM{ID: s.VM, Role: metastore.RoleAgent, Region: Region, Zone: Zone, Address: middlebox.Address(), Upstream: s.Upstream})
}

func (c *Cluster) startRouters(ctx context.Context) error {
	for i := range c.o.Routers {
		name := fmt.Sprintf("router-%d", i)
		addresses, err := freePorts("tcp", "tcp", "udp")
		if err != nil {
			return err
		}
		s := config.RouterSettings{
			VM: ident.VM(name), Region: Region, Zone: Zone,
			Listen: addresses[0], AdminListen: addresses[1], PeerListen: addresses[2],
			Platform: c.PlatformURL, Environments: []ident.Environment{Environment},
			Log:             config.LogSettings{Format: "text", Level: "info"},
			ShutdownDelay:   config.Duration(300 * time.Millisecond),
			ShutdownTimeout: config.Duration(20 * time.Second),
		}
		s.TLS, err = c.issue(name)
		if err != nil {
			return err
		}
		p, err := c.daemon(name, "laureltally-router", s)
		if err != nil {
			return err
		}
		c.Routers = append(c.Routers, p)
		c.RouterURLs = append(c.RouterURLs, "http://"+addresses[0])
		c.AdminURLs = append(c.AdminURLs, "http://"+addresses[1])
		if err := c.PutVM(ctx, metastore.VM{ID: s.VM, Role: metastore.RoleRouter, Region: Region, Zone: Zone, Address: addresses[2]}); err != nil {
			return err
		}
	}
	return nil
}

// daemon writes the settings to a file and starts a program with it.
func (c *Cluster) daemon(name, program string, settings any) (*Process, error) {
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", name, err)
	}
	p := c.process(name, program, path)
	_, err = p.start(false)
	return p, err
}

// Restart starts p again after it has ended.
func (c *Cluster) Restart(p *Process) error {
	_, err := p.start(false)
	return err
}

func (c *Cluster) issue(vm string) (config.TLSSettings, error) {
	pair, err := c.ca.Issue(keys.IssueOptions{VM: ident.VM(vm)})
	if err != nil {
		return config.TLSSettings{}, fmt.Errorf("create certificate of %s: %w", vm, err)
	}
	if err := pair.Write(c.dir, vm); err != nil {
		return config.TLSSettings{}, fmt.Errorf("create certificate of %s: %w", vm, err)
	}
	return config.TLSSettings{
		CA:   keys.CertificateFile(c.dir, "ca"),
		Cert: keys.CertificateFile(c.dir, vm),
		Key:  keys.KeyFile(c.dir, vm),
	}, nil
}

// PutVM adds or replaces a VM in the platform's list.
func (c *Cluster) PutVM(ctx context.Context, vm metastore.VM) error {
	return c.Post(ctx, c.PlatformURL+"/control/vms", standin.VMChange{Put: &vm})
}

// awaitReady waits until every router reaches every agent and every model has a
// slot.
func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range c.AdminURLs {
		for !c.routerReady(ctx, url) {
			if ctx.Err() != nil {
				return &ReadyError{URL: url}
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// pollInterval is the time between two checks of a condition, and between two
// samples of the monitor.
const pollInterval = 20 * time.Millisecond

func (c *Cluster) routerReady(ctx context.Context, url string) bool {
	st, err := c.Status(ctx, url)
	if err != nil || len(st.Agents) < len(c.Agents) {
		return false
	}
	slots := make(map[ident.Model]bool)
	for _, a := range st.Agents {
		if !a.Reachable {
			return false
		}
		for _, m := range a.Models {
			slots[m.Model] = slots[m.Model] || m.Fence != 0
		}
	}
	for _, m := range Models {
		if !slots[ident.Model(m)] {
			return false
		}
	}
	return true
}

func freePorts(networks ...string) ([]string, error) {
	var all []string
	for _, n := range networks {
		a, err := freePort(n)
		if err != nil {
			return nil, err
		}
		all = append(all, a)
	}
	return all, nil
}
