package standin

import (
	"fmt"
	"net/http"
	"time"
)

// Region and Zone are the only ones of the cases.
const (
	Region = "r1"
	Zone   = "z1"
)

// Bounds of a small deployment, as in the settings.
const (
	DrainMS       = 3000
	ConfigApplyMS = 3000
	StableMS      = 4000
)

// Front is an entry machine.
type Front struct {
	*Process
	// Address is for clients.
	Address string
	ready   string
	// Door is the store's address for this machine.
	Door *Door
}

// StartFront starts laureltally-ingress on a machine of its own.
func (c *Case) StartFront(name string, sidecarPort int) (*Front, error) {
	ip := c.IP()
	var ports [3]int
	for i := range ports {
		p, err := FreePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	door, err := c.Store.Open()
	if err != nil {
		return nil, err
	}
	c.AtEnd(door.Close)
	f := &Front{Address: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]), Door: door}
	f.Process, err = c.Start(name, "laureltally-ingress", map[string]any{
		"vm": name, "region": Region, "zone": Zone, "zones": []map[string]any{{"zone": Zone, "region": Region}},
		"listen": f.Address, "readiness_listen": f.ready, "admin_listen": fmt.Sprintf("%s:%d", ip, ports[2]),
		"sidecar_port": sidecarPort, "metadata_store": door.Address,
		"retry_share": 0.2, "retry_slack": 52, "retry_window": "10s", "registration_interval": "1200ms",
		"config_within": fmt.Sprintf("%dms", ConfigApplyMS), "leaving_within": fmt.Sprintf("%dms", DrainMS),
		"shutdown_timeout": "8s", "memory_mb": 284, "log": map[string]any{"format": "json", "level": "info"},
	})
	return f, err
}

// AwaitReady waits until the machine says that it is ready.
func (f *Front) AwaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + f.ready + "/laureltally/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.Name)
}

// StartSide starts laureltally-sidecar beside an engine, on the engine's machine.
func (c *Case) StartSide(name, service, engineIP, engineAddress string, sidecarPort int) (*Process, error) {
	admin, err := FreePort(engineIP)
	if err != nil {
		return nil, err
	}
	door, err := c.Store.Open()
	if err != nil {
		return nil, err
	}
	c.AtEnd(door.Close)
	return c.Start(name, "laureltally-sidecar", map[string]any{
		"vm": name, "region": Region, "zone": Zone, "service": service, "engine_address": engineAddress,
		"peer_listen": fmt.Sprintf("%s:%d", engineIP, sidecarPort), "admin_listen": fmt.Sprintf("%s:%d", engineIP, admin),
		"metadata_store": door.Address, "first_start": true, "order_lease": "3000ms",
		"log": map[string]any{"format": "json", "level": "info"},
	})
}
