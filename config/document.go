package config

import "github.com/laureltally/laureltally/ident"

// Document describes one environment. Operators edit it, test it in trial and
// then promote the same bytes to production.
type Document struct {
	Environment ident.Environment `json:"environment"`
	// Aim weighs tail cold-start time against idle accelerator hours.
	Aim     Aim      `json:"aim"`
	Regions []Region `json:"regions"`
	// Priorities lists the names of request priorities, highest first.
	Priorities []string        `json:"priorities"`
	Upstreams  []UpstreamGroup `json:"upstreams"`
	Models     []Model         `json:"models"`
	Services   []Service       `json:"services"`
	Callers    []Caller        `json:"callers"`
	Store      WeightStore     `json:"weight_store"`
	Limits     Limits          `json:"limits"`
}
