package entry

import (
	"time"

	"shallotcourse/internal/route"
	"shallotcourse/pkg/resrc"
)

const (
	// entriesPerTarget is the mean number of entries that link each target. It
	// keeps every target in use when a few entries have failed.
	entriesPerTarget = 4
	// entryCountInterval is the time between checks of the number of entries,
	// which determines how many targets this entry links.
	entryCountInterval = 5 * time.Second
)

// setLinks keeps links to exactly the given addresses.
func (e *Entry) setLinks(addresses []string) {
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

// addLink links a further agent until the next call of setLinks.
func (e *Entry) addLink(address string) {
	e.linkMu.Lock()
	defer e.linkMu.Unlock()
	if !e.linked[address] {
		e.linked[address] = true
		e.cfg.Links.Want(address)
	}
}

// agentsToLink returns the addresses of the agents that this entry links: a
// subset of each group of interchangeable targets. Links from all entries to
// all targets would be 246,000 at 410 entries and 600 targets.
func (e *Entry) agentsToLink(targets []resrc.Resource) []string {
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
		n := max(e.bounds.TargetsPerGroup, (entriesPerTarget*len(group)+entries-1)/entries)
		out = append(out, e.subset(group, n)...)
	}
	return out
}

// subset returns the agent addresses of n targets of a group, or of all if there
// are fewer, chosen by their rank for this entry. Up to n-1 are from the region
// of this entry; the others are chosen regardless of their region.
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

// entryCount returns the number of entries: those that the platform lists or
// those that are linked, whichever is larger.
func (e *Entry) entryCount() int {
	listed := 0
	if e.cfg.Entries != nil {
		listed = e.cfg.Entries()
	}
	return max(listed, e.linkedEntryCount())
}

// linksAllEntries reports whether this entry has links to all other known
// entries.
func (e *Entry) linksAllEntries() bool { return e.linkedEntryCount() >= e.entryCount() }

// linkedEntryCount returns the number of entries linked to this one, plus one
// for itself.
func (e *Entry) linkedEntryCount() int {
	e.peers.mu.RLock()
	defer e.peers.mu.RUnlock()
	return 1 + len(e.peers.entries)
}
