package ingress

import (
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/serving"
)

const (
	// assumedUrgency is the level that engines assume for requests that state none.
	assumedUrgency = 5
	// lastUrgency is the least urgent level.
	lastUrgency = 9
)

// urgency returns the urgency that the upstream is told of: none in a configuration without
// tenants, where requests are served as before.
func (d *delivery) urgency() serving.Urgency {
	if !d.authenticated {
		return serving.Urgency{}
	}
	return urgencyOf(d.requirements.Priority, d.tenant != nil)
}

// urgencyOf derives the urgency from the combined priority of tenant and route. A request
// without a tenant comes no earlier than one that states no urgency, so that callers gain
// nothing by leaving out their key.
func urgencyOf(p ident.Priority, hasTenant bool) serving.Urgency {
	level := min(max(0, int(p)), lastUrgency)
	if !hasTenant {
		level = max(level, assumedUrgency)
	}
	return serving.Urgency{Known: true, Level: level}
}
