package agent

import (
	"net/http"
	"testing"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/internal/boundedhttp"
	"github.com/laureltally/laureltally/internal/boundedhttp/boundedhttptest"
)

// A crowd at the admin address must neither use up the VM's memory nor keep probes out.
func TestCrowdAtAdminAddress(t *testing.T) {
	a := &Agent{o: Options{Settings: config.AgentSettings{AdminListen: "127.0.0.1:0"}}}
	ln, err := a.listenAdmin()
	if err != nil {
		t.Fatal(err)
	}
	server := ln.Server(a.adminRoutes())
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()
	boundedhttptest.Crowds(t, ln.Addr().String(), boundedhttp.Small(), "/healthz", http.StatusOK)
}
