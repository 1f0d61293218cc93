package config

import "github.com/laureltally/laureltally/ident"

// Region is one region with its availability zones.
type Region struct {
	Name  ident.Region `json:"name"`
	Zones []ident.Zone `json:"zones"`
}
