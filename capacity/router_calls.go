package main

import (
	"context"
	"fmt"
	"net"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/router"
)

// routerCalls counts the platform calls of n routers of one environment.
func routerCalls(n int) (callCounts, error) {
	lister := &countingLister{vms: routerVMs(n)}
	return countCalls(n, lister, func(ctx context.Context, i int, s metastore.Store, keys *issuer) error {
		vm := routerName(i)
		credentials, err := keys.issue(vm)
		if err != nil {
			return err
		}
		r, err := router.New(router.Options{
			Settings: config.RouterSettings{
				VM: vm, Region: regionName, Zone: zoneName, AdminListen: "127.0.0.1:0",
				Environments: []ident.Environment{environmentName},
			},
			Store: s, VMs: lister, Credentials: credentials, Logger: quiet(),
		})
		if err != nil {
			return fmt.Errorf("create router: %w", err)
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return r.Serve(ctx, ln)
	})
}

func routerName(i int) ident.VM { return ident.VM(fmt.Sprintf("router-%03d", i)) }

func routerVMs(n int) []metastore.VM {
	var vms []metastore.VM
	for i := range n {
		vms = append(vms, metastore.VM{ID: routerName(i), Role: metastore.RoleRouter, Region: regionName, Zone: zoneName})
	}
	return vms
}
