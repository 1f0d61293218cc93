package placement

import "github.com/laureltally/laureltally/ident"

// HasSoftware reports whether a VM of a service with a software version is registered.
func (b *Balancer) HasSoftware(service ident.Upstream, software string) bool {
	for _, m := range b.members {
		if m.vm.Service == service && m.vm.Software == software {
			return true
		}
	}
	return false
}
