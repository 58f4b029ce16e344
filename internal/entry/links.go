package entry

import (
	"time"

	"shallotcourse/internal/route"
	"shallotcourse/pkg/resrc"
)

const (
	// coverage is the number of entries that link each target on average. It
	// keeps every target in use when a few entries are gone.
	coverage = 4
	// reviewLinks is the time between looks at the number of entries, from
	// which the subset of linked targets follows.
	reviewLinks = 5 * time.Second
)

// link keeps links to exactly the given addresses.
func (e *Entry) link(addresses []string) {
	e.linkMu.Lock()
	defer e.linkMu.Unlock()
	wanted := map[string]bool{}
	for _, address := range addresses {
		wanted[address] = true
		if !e.linked[address] {
			e.cfg.Links.Want(address)
		}
	}
	for address := range e.linked {
		if !wanted[address] {
			e.cfg.Links.Unwant(address)
		}
	}
	e.linked = wanted
}

// linkToo links an agent outside this entry's subset until the next change of
// the configuration.
func (e *Entry) linkToo(address string) {
	e.linkMu.Lock()
	defer e.linkMu.Unlock()
	if !e.linked[address] {
		e.linked[address] = true
		e.cfg.Links.Want(address)
	}
}

// wanted returns the agents that this entry links to: a subset of each group
// of interchangeable targets. All entries to all targets would be 246,000
// links at 410 entries and 600 targets.
func (e *Entry) wanted(targets []resrc.Resource) []string {
	type group struct {
		version, service string
		layers           resrc.LayerRange
	}
	members := map[group][]resrc.Resource{}
	for _, r := range targets {
		if t, ok := r.Spec.(resrc.Target); ok {
			g := group{t.Version, t.Service, t.Layers}
			members[g] = append(members[g], r)
		}
	}
	entries := e.entryCount()
	var out []string
	for _, group := range members {
		n := max(e.bounds.TargetsPerGroup, (coverage*len(group)+entries-1)/entries)
		out = append(out, e.subset(group, n)...)
	}
	return out
}

// subset returns the addresses of up to n targets by their rank for this
// entry. One of them is chosen from all regions, the others from this region
// while it has enough.
func (e *Entry) subset(group []resrc.Resource, n int) []string {
	var names, near []string
	addresses := map[string]string{}
	for _, r := range group {
		t := r.Spec.(resrc.Target)
		names = append(names, r.Name)
		addresses[r.Name] = t.Agent
		if t.Region == e.cfg.Region {
			near = append(near, r.Name)
		}
	}
	chosen := map[string]bool{}
	for _, name := range route.Subset(e.cfg.Instance, near, n-1) {
		chosen[name] = true
	}
	for _, name := range route.Subset(e.cfg.Instance, names, len(names)) {
		if len(chosen) >= n {
			break
		}
		chosen[name] = true
	}
	out := make([]string, 0, len(chosen))
	for name := range chosen {
		out = append(out, addresses[name])
	}
	return out
}

// entryCount returns the number of entries, by the platform's list or by the
// links, whichever is larger.
func (e *Entry) entryCount() int {
	listed := 0
	if e.cfg.Entries != nil {
		listed = e.cfg.Entries()
	}
	return max(listed, e.linkedEntries())
}

// linksAllEntries reports whether no known entry is without a link.
func (e *Entry) linksAllEntries() bool { return e.linkedEntries() >= e.entryCount() }

// linkedEntries counts this entry and those linked to it.
func (e *Entry) linkedEntries() int {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	return 1 + len(e.peers.entries)
}
