package config

import "github.com/laureltally/laureltally/ident"

// Service is a plain service, available under
// /services/{environment}/{service}/.
type Service struct {
	Name     ident.Service  `json:"name"`
	Upstream ident.Upstream `json:"upstream"`
	Priority string         `json:"priority"`
	Routes   []Route        `json:"routes"`
}
