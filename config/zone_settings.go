package config

import "github.com/laureltally/laureltally/ident"

// ZoneSettings is one availability zone of an installation.
type ZoneSettings struct {
	Zone   ident.Zone   `json:"zone"`
	Region ident.Region `json:"region"`
}
