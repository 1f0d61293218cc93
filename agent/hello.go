package agent

import (
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

func (a *Agent) hello() wire.Hello {
	return wire.Hello{
		VM:          a.o.Settings.VM,
		Incarnation: a.o.Incarnation,
		Role:        metastore.RoleAgent,
		Region:      a.o.Settings.Region,
		Zone:        a.o.Settings.Zone,
	}
}
