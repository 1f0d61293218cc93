package catalog

import (
	"sort"

	"github.com/laureltally/laureltally/config"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
)

// Catalog is an index of one version of a document.
type Catalog struct {
	version    metastore.Version
	document   config.Document
	priorities map[string]ident.Priority
	models     map[ident.Model]*config.Model
	adapters   map[ident.Adapter]adapterEntry
	services   map[ident.Service]*config.Service
	callers    map[string]*config.Caller
}

type adapterEntry struct {
	model   *config.Model
	adapter *config.Adapter
}

// New indexes a validated document that was stored at version.
func New(version metastore.Version, d config.Document) *Catalog {
	c := &Catalog{
		version:    version,
		document:   d,
		priorities: make(map[string]ident.Priority, len(d.Priorities)),
		models:     make(map[ident.Model]*config.Model, len(d.Models)),
		adapters:   make(map[ident.Adapter]adapterEntry),
		services:   make(map[ident.Service]*config.Service, len(d.Services)),
		callers:    make(map[string]*config.Caller, len(d.Callers)),
	}
	for i, name := range d.Priorities {
		c.priorities[name] = ident.Priority(i)
	}
	for i := range d.Models {
		c.addModel(&d.Models[i])
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Callers {
		c.callers[d.Callers[i].KeySHA256] = &d.Callers[i]
	}
	return c
}

func (c *Catalog) addModel(m *config.Model) {
	c.models[m.Name] = m
	for i := range m.Adapters {
		c.adapters[m.Adapters[i].Name] = adapterEntry{model: m, adapter: &m.Adapters[i]}
	}
}

// Version returns the version of the document.
func (c *Catalog) Version() metastore.Version { return c.version }

// Document returns the document; it must not be changed.
func (c *Catalog) Document() config.Document { return c.document }

// Model returns the model with the name.
func (c *Catalog) Model(name ident.Model) (config.Model, bool) {
	m, ok := c.models[name]
	if !ok {
		return config.Model{}, false
	}
	return *m, true
}

// Resolve returns the target of a model name in the API: a model, or an adapter
// together with its model.
func (c *Catalog) Resolve(name string) (Target, bool) {
	if m, ok := c.models[ident.Model(name)]; ok {
		return Target{Model: *m, Priority: c.priorities[m.Priority]}, true
	}
	a, ok := c.adapters[ident.Adapter(name)]
	if !ok {
		return Target{}, false
	}
	priority := a.model.Priority
	if a.adapter.Priority != "" {
		priority = a.adapter.Priority
	}
	return Target{Model: *a.model, Adapter: a.adapter.Name, Priority: c.priorities[priority]}, true
}

// Service returns the service with the name, and its priority.
func (c *Catalog) Service(name ident.Service) (config.Service, ident.Priority, bool) {
	s, ok := c.services[name]
	if !ok {
		return config.Service{}, 0, false
	}
	return *s, c.priorities[s.Priority], true
}

// Caller returns the caller whose key has the given SHA-256 hash, in lower-case
// hexadecimal.
func (c *Catalog) Caller(sum string) (config.Caller, bool) {
	caller, ok := c.callers[sum]
	if !ok {
		return config.Caller{}, false
	}
	return *caller, true
}

// ModelNames returns the names that are valid in the API's model field, sorted.
func (c *Catalog) ModelNames() []string {
	names := make([]string, 0, len(c.models)+len(c.adapters))
	for m := range c.models {
		names = append(names, string(m))
	}
	for a := range c.adapters {
		names = append(names, string(a))
	}
	sort.Strings(names)
	return names
}
