// Package ident defines the identifier types shared by all packages of
// laureltally: environments, models, VMs, fencing tokens and attempts.
package ident
