package rudderroute

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table answers queries about one document.
type Table struct {
	document   Document
	byHost     map[string][]*Route // longest prefix first
	services   map[string]*Service
	workspaces map[string]*Workspace // by key
}

// NewTable builds the indexes for a document, which must not be changed afterwards.
func NewTable(d Document) *Table {
	t := &Table{document: d, byHost: map[string][]*Route{}, services: map[string]*Service{}, workspaces: map[string]*Workspace{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := normalizeHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		for _, key := range d.Workspaces[i].Keys {
			t.workspaces[key] = &d.Workspaces[i]
		}
	}
	return t
}

// Version returns the version of the document.
func (t *Table) Version() int64 { return t.document.Version }

// KeyRequired reports whether requests need a key, except on public routes.
func (t *Table) KeyRequired() bool { return t.document.KeyRequired }

// Limits returns the limits of the document.
func (t *Table) Limits() Limits { return t.document.Limits }

// Services returns all services.
func (t *Table) Services() []Service { return t.document.Services }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Workspace returns the workspace that has the key, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaces[key] }

// Match returns the route with the longest prefix of the path on the host, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Pick chooses a service of the route by weight; draw is a random number in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Shares) > 0 {
			return r.Shares[0].Service
		}
		return ""
	}
	mark := draw * float64(total)
	for _, s := range r.Shares {
		if mark -= float64(max(s.Weight, 0)); mark < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// normalizeHost removes the port from a host name and makes it lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
