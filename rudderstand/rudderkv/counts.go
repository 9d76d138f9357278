package rudderkv

import (
	"maps"
	"strings"
)

// Kinds of calls in Counts.
const (
	KindGet         = "get"
	KindList        = "list"
	KindPut         = "put"
	KindDelete      = "delete"
	KindGrantLease  = "grant_lease"
	KindKeepAlive   = "keep_alive"
	KindRevokeLease = "revoke_lease"
	KindWatch       = "watch"
)

// Counts holds the number of calls since the last reset, including refused ones. A long-polling watch
// counts as one call.
type Counts struct {
	Reads       int64 `json:"reads"`
	Writes      int64 `json:"writes"`
	RateLimited int64 `json:"rate_limited"`
	// ByKind counts calls by Kind; ByPrefix by kind and key prefix, as "put control/plan".
	ByKind   map[string]int64 `json:"by_kind"`
	ByPrefix map[string]int64 `json:"by_prefix"`
}

func newCounts() Counts {
	return Counts{ByKind: map[string]int64{}, ByPrefix: map[string]int64{}}
}

// Counts returns the calls counted so far.
func (s *Server) Counts() Counts {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByKind = maps.Clone(counts.ByKind)
	counts.ByPrefix = maps.Clone(counts.ByPrefix)
	return counts
}

// ResetCounts sets all counts to 0.
func (s *Server) ResetCounts() {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = newCounts()
}

func (c *Counts) add(kind string, write bool, keys []string) {
	if write {
		c.Writes++
	} else {
		c.Reads++
	}
	c.ByKind[kind]++
	for _, key := range keys {
		c.ByPrefix[kind+" "+keyPrefix(key)]++
	}
}

// keyPrefix returns the first segment of a key, or the first two for keys under "control/", because those
// belong to different owners.
func keyPrefix(key string) string {
	first, rest, _ := strings.Cut(key, "/")
	if first != "control" || rest == "" {
		return first
	}
	second, _, _ := strings.Cut(rest, "/")
	return first + "/" + second
}
