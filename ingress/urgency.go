package ingress

import "github.com/laureltally/laureltally/heldbytes"

// urgency returns how urgent the request is compared with others whose bytes are held.
func (d *delivery) urgency() heldbytes.Urgency {
	return heldbytes.Urgency{Route: d.route.Priority}
}
