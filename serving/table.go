package serving

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table finds routes by host and longest path prefix. It is immutable.
type Table struct {
	// byHost maps each host to its routes, the longest prefix first.
	byHost map[string][]*Route
}

// NewTable returns the table of a configuration. The routes are not copied.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, rs := range t.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return t
}

// Lookup returns the route of a request, or nil. Path is the path as the caller sent
// it, without the query.
func (t *Table) Lookup(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
