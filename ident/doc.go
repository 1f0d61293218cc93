// Package ident defines the typed names and numbers that every part of
// laureltally shares: environments, models, VMs, fences and attempts.
package ident
