package ingress

import "github.com/laureltally/laureltally/heldbytes"

// heldUrgency returns how urgent the request is compared with others whose bytes are held.
func (d *delivery) heldUrgency() heldbytes.Urgency {
	u := heldbytes.Urgency{Route: d.route.Priority}
	if d.tenant != nil {
		u.Tenant = d.tenant.Priority
	}
	return u
}
