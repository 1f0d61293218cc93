package dev

import (
	"context"
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/laureltally/laureltally/agent"
	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/daemon"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/engine/enginehttp"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keys"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
	"github.com/laureltally/laureltally/router"
	"github.com/laureltally/laureltally/standin"
)

//go:embed document.jsonc
var documentText []byte

// Names, sizes and times in the embedded environment.
const (
	Environment ident.Environment = "dev"
	// Key is the API key of the caller.
	Key = "dev-key"

	region   ident.Region   = "local"
	zone     ident.Zone     = "local-a"
	drafting ident.Upstream = "drafting"
	portal   ident.Upstream = "portal"

	engines            = 2
	engineMemoryMB     = 80 << 10
	serviceConcurrency = 32

	remoteLoad       = 1500 * time.Millisecond
	diskLoad         = 700 * time.Millisecond
	memoryLoad       = 200 * time.Millisecond
	unloadTime       = 50 * time.Millisecond
	timeToFirstToken = 40 * time.Millisecond
	tokensPerSecond  = 2000
)

// cluster is the running environment.
type cluster struct {
	o           Options
	dir         string
	ca          *keys.Authority
	platformURL string
	vms         *standin.VMList
	client      *objecthttp.Client
	wg          sync.WaitGroup
	closers     []func()
	failures    chan error
}

// Run serves until ctx ends or an agent fails, and then stops the router and the
// agents gracefully.
func Run(ctx context.Context, o Options) error {
	c := &cluster{o: o.withDefaults(), failures: make(chan error, 1)}
	defer c.closeAll()
	if err := c.startPlatform(); err != nil {
		return err
	}
	agentContext, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range engines {
		if err := c.startEngine(agentContext, i); err != nil {
			return err
		}
	}
	if err := c.startService(agentContext); err != nil {
		return err
	}
	return c.serveRouter(ctx, stop)
}

func (c *cluster) closeAll() {
	c.wg.Wait()
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
}

// startPlatform starts the object API and applies the embedded document.
func (c *cluster) startPlatform() error {
	dir, err := os.MkdirTemp("", "laureltally-dev-")
	if err != nil {
		return fmt.Errorf("create directory for keys: %w", err)
	}
	c.dir = dir
	c.closers = append(c.closers, func() { _ = os.RemoveAll(dir) })
	c.ca, err = keys.NewAuthority(keys.AuthorityOptions{Name: "dev"})
	if err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	if err := c.ca.Pair().Write(dir, "ca"); err != nil {
		return fmt.Errorf("create authority: %w", err)
	}
	store := memstore.New(memstore.Options{})
	c.vms = standin.NewVMList(0)
	c.platformURL, err = c.serveHTTP(standin.NewObjectAPI(standin.ObjectAPIOptions{Store: store, VMs: c.vms}))
	if err != nil {
		return err
	}
	c.client, err = objecthttp.New(objecthttp.Options{BaseURL: c.platformURL})
	if err != nil {
		return fmt.Errorf("create platform client: %w", err)
	}
	_, err = document.New(document.Options{Store: store, Logger: c.o.Logger}).Apply(context.Background(), document.Update{
		Environment: Environment,
		Stage:       document.StageProduction,
		Text:        documentText,
		Actor:       "dev",
		Reason:      "embedded document",
	})
	if err != nil {
		return fmt.Errorf("apply embedded document: %w", err)
	}
	return nil
}

// serveHTTP serves h on a free port and returns its base URL.
func (c *cluster) serveHTTP(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	c.closers = append(c.closers, func() { _ = server.Close() })
	return "http://" + ln.Addr().String(), nil
}

func (c *cluster) startEngine(ctx context.Context, i int) error {
	standIn := standin.NewEngine(standin.EngineOptions{
		MemoryMB:     engineMemoryMB,
		ChecksFences: true,
		LoadTimes: map[engine.Tier]time.Duration{
			engine.TierRemote: remoteLoad,
			engine.TierDisk:   diskLoad,
			engine.TierMemory: memoryLoad,
		},
		UnloadTime:       unloadTime,
		TokensPerSecond:  tokensPerSecond,
		TimeToFirstToken: timeToFirstToken,
	})
	c.closers = append(c.closers, standIn.Close)
	base, err := c.serveHTTP(standIn)
	if err != nil {
		return err
	}
	client, err := enginehttp.New(enginehttp.Options{BaseURL: base})
	if err != nil {
		return fmt.Errorf("create engine client: %w", err)
	}
	return c.startAgent(ctx, fmt.Sprintf("engine-%d", i), config.AgentSettings{
		Upstream: drafting, Kind: config.KindEngine, UpstreamURL: base, MemoryMB: engineMemoryMB,
	}, client)
}

func (c *cluster) startService(ctx context.Context) error {
	base, err := c.serveHTTP(standin.NewService())
	if err != nil {
		return err
	}
	return c.startAgent(ctx, "portal-0", config.AgentSettings{
		Upstream: portal, Kind: config.KindService, UpstreamURL: base, Concurrency: serviceConcurrency,
	}, nil)
}

func (c *cluster) startAgent(ctx context.Context, id string, s config.AgentSettings, client engine.Client) error {
	address, err := freeUDP()
	if err != nil {
		return err
	}
	credentials, err := c.credentials(ident.VM(id))
	if err != nil {
		return err
	}
	s.VM, s.Region, s.Zone, s.Environment, s.PeerListen = ident.VM(id), region, zone, Environment, address
	a, err := agent.New(agent.Options{Settings: s, Store: c.client, Credentials: credentials, Engine: client, Logger: c.o.Logger.WithField("vm", id)})
	if err != nil {
		return fmt.Errorf("create agent %s: %w", id, err)
	}
	c.wg.Go(func() { c.reportFailure(a.Run(ctx)) })
	c.vms.Apply(standin.VMChange{Put: &metastore.VM{ID: s.VM, Role: metastore.RoleAgent, Region: region, Zone: zone, Address: address, Upstream: s.Upstream}})
	return nil
}

func (c *cluster) credentials(vm ident.VM) (*keys.Reloader, error) {
	pair, err := c.ca.Issue(keys.IssueOptions{VM: vm})
	if err != nil {
		return nil, fmt.Errorf("create certificate of %s: %w", vm, err)
	}
	if err := pair.Write(c.dir, string(vm)); err != nil {
		return nil, fmt.Errorf("create certificate of %s: %w", vm, err)
	}
	return keys.NewReloader(keys.ReloaderOptions{
		CA:          keys.CertificateFile(c.dir, "ca"),
		Certificate: keys.CertificateFile(c.dir, string(vm)),
		Key:         keys.KeyFile(c.dir, string(vm)),
		Logger:      c.o.Logger,
	})
}

func (c *cluster) reportFailure(err error) {
	if err == nil {
		return
	}
	select {
	case c.failures <- err:
	default:
	}
}

// freeUDP returns a loopback address with a UDP port that was free when it was
// checked.
func freeUDP() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a free UDP port: %w", err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String(), nil
}

// serveRouter runs the router until ctx ends, then stops the agents.
func (c *cluster) serveRouter(ctx context.Context, stopAgents context.CancelFunc) error {
	defer stopAgents()
	ln, err := net.Listen("tcp", c.o.Listen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	credentials, err := c.credentials("router-0")
	if err != nil {
		return err
	}
	settings := config.RouterSettings{
		VM: "router-0", Region: region, Zone: zone, AdminListen: c.o.AdminListen,
		Environments: []ident.Environment{Environment},
	}
	metrics := daemon.NewMetrics("router")
	c.closers = append(c.closers, metrics.Close)
	s, err := router.New(router.Options{
		Settings:       settings,
		Store:          c.client,
		VMs:            c.client,
		Credentials:    credentials,
		Logger:         c.o.Logger.WithField("vm", "router-0"),
		Metrics:        metrics.Scope,
		MetricsHandler: metrics.Handler,
	})
	if err != nil {
		return fmt.Errorf("create router: %w", err)
	}
	c.vms.Apply(standin.VMChange{Put: &metastore.VM{ID: "router-0", Role: metastore.RoleRouter, Region: region, Zone: zone}})
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case err := <-c.failures:
			cancel(err)
		case <-ctx.Done():
		}
	}()
	go c.printReady(ctx, s, ln.Addr().String())
	return s.Serve(ctx, ln)
}

// printReady prints one line with the base URL and the key when requests can be
// served.
func (c *cluster) printReady(ctx context.Context, s *router.Server, address string) {
	const pollInterval = 20 * time.Millisecond
	for !s.EnvironmentReady(Environment) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
	_, _ = fmt.Fprintf(c.o.Out, "ready http://%s key %s\n", address, Key)
}
