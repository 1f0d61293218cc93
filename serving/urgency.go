package serving

import "github.com/laureltally/laureltally/ident"

// Urgency is the level at which an engine admits a request: 0 is the most urgent and 9 the
// least. The zero value is unknown; engines then assume level 5.
type Urgency struct {
	Known bool
	Level int
}

const (
	// routeLevels is the number of levels for the routes of one tenant priority. Ten levels
	// hold three of the most urgent tenant priorities; all others share the last level.
	routeLevels = 3
	// lastUrgency is the least urgent level.
	lastUrgency = 9
)

// UrgencyOf returns the urgency of requests of a tenant on a route: the priority of the
// tenant is compared first, then that of the route.
func UrgencyOf(tenant, route ident.Priority) Urgency {
	t, r := max(0, int(tenant)), max(0, int(route))
	if t >= lastUrgency/routeLevels {
		return Urgency{Known: true, Level: lastUrgency}
	}
	return Urgency{Known: true, Level: routeLevels*t + min(r, routeLevels-1)}
}
