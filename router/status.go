package router

import (
	"net/http"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

// Status is the response body of /admin/status.
type Status struct {
	VM      ident.VM                                `json:"vm"`
	Configs map[ident.Environment]metastore.Version `json:"configs"`
	Agents  []AgentStatus                           `json:"agents"`
}

// AgentStatus is the status of one agent, from its listing and its latest report.
type AgentStatus struct {
	VM          ident.VM                                `json:"vm"`
	Upstream    ident.Upstream                          `json:"upstream"`
	Region      ident.Region                            `json:"region"`
	Zone        ident.Zone                              `json:"zone"`
	Reachable   bool                                    `json:"reachable"`
	Leaving     bool                                    `json:"leaving"`
	Incarnation ident.Incarnation                       `json:"incarnation,omitempty"`
	Configs     map[ident.Environment]metastore.Version `json:"configs,omitempty"`
	FreeMB      int64                                   `json:"free_mb"`
	Running     int                                     `json:"running"`
	Waiting     int                                     `json:"waiting"`
	Models      []wire.ModelReport                      `json:"models,omitempty"`
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) }

func (s *Server) status() Status {
	st := Status{VM: s.o.Settings.VM, Configs: make(map[ident.Environment]metastore.Version)}
	for name, env := range s.environments {
		if c := env.catalog.Load(); c != nil {
			st.Configs[name] = c.Version()
		}
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, u := range s.fleet.vms {
		st.Agents = append(st.Agents, u.status())
	}
	return st
}

func (u *upstreamVM) status() AgentStatus {
	st := AgentStatus{
		VM:        u.listed.ID,
		Upstream:  u.listed.Upstream,
		Region:    u.listed.Region,
		Zone:      u.listed.Zone,
		Reachable: u.connected,
		Leaving:   u.listed.Leaving,
	}
	if u.report == nil {
		return st
	}
	st.Leaving = st.Leaving || u.report.Draining
	st.Incarnation = u.report.Incarnation
	st.Configs = u.report.Configs
	st.FreeMB = u.report.FreeMB
	st.Running = u.report.Running
	st.Waiting = u.report.Waiting
	st.Models = u.report.Models
	return st
}
