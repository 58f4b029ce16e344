package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

const (
	// maxMeshGateways is the number of gateways up to which every gateway
	// exchanges state with every other. The number of messages grows with the
	// square of that number.
	maxMeshGateways = 8
	// maxGroupGateways bounds the gateways of a group, since its leader sends a
	// message to each of them. Larger data centres have several groups.
	maxGroupGateways = 40
)

// Topology is a gateway's place in the exchange of state. Up to
// maxMeshGateways gateways form a full mesh. More form groups within data
// centres: followers exchange state with the leader of their group, and leaders
// with one another.
type Topology struct {
	Mesh bool
	// Group is the name of the gateway's group, and Leader the instance that
	// leads it.
	Group, Leader string
	// Leads is set if the gateway acts as a leader: it leads its group, or
	// other gateways have chosen it as their leader.
	Leads bool
	// Members holds the gateways of the group, including this one.
	Members []Member
	// Links holds the gateways to dial. A follower also dials the gateway that
	// is next in line to lead.
	Links []Member
}

// topologyOf returns the topology as seen by the gateway self. The function down
// reports whether a gateway cannot be reached; followed is set if other gateways
// have chosen this one as their leader because they cannot reach the leader that
// it sees.
func topologyOf(self Member, others []Member, down func(instance string) bool, followed bool) Topology {
	t := Topology{Group: self.DataCentre}
	if len(others) < maxMeshGateways {
		t.Mesh = true
		for _, m := range others {
			// Only one gateway of each pair dials: the one whose name sorts
			// first.
			if self.Instance < m.Instance {
				t.Links = append(t.Links, m)
			}
		}
		return t
	}
	groups := groupsOf(append(slices.Clone(others), self))
	for name, members := range groups {
		if !slices.Contains(members, self) {
			continue
		}
		t.Group, t.Members = name, members
		for _, m := range members {
			if t.Leader == "" && (m == self || !down(m.Instance)) {
				t.Leader = m.Instance
			}
		}
		t.Links = firstReachable(members, self, down, 2)
	}
	t.Leads = t.Leader == self.Instance || followed
	if !t.Leads {
		return t
	}
	t.Links = nil
	for name, members := range groups {
		if name != t.Group || t.Leader != self.Instance {
			t.Links = append(t.Links, firstReachable(members, self, down, 1)...)
		}
	}
	return t
}

// groupsOf divides gateways into groups by data centre, and those of large data
// centres further by the hash of their names. Each group is sorted by
// precedence for leading it.
func groupsOf(members []Member) map[string][]Member {
	sizes := map[string]int{}
	for _, m := range members {
		sizes[m.DataCentre]++
	}
	out := map[string][]Member{}
	for _, m := range members {
		name := m.DataCentre
		if parts := (sizes[name] + maxGroupGateways - 1) / maxGroupGateways; parts > 1 {
			name += "/" + strconv.Itoa(int(hash(m.Instance))%parts)
		}
		out[name] = append(out[name], m)
	}
	for _, g := range out {
		slices.SortFunc(g, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.MilliCores, a.MilliCores), cmp.Compare(hash(a.Instance), hash(b.Instance)), cmp.Compare(a.Instance, b.Instance))
		})
	}
	return out
}

// firstReachable returns the members up to the n-th that is reachable.
// Unreachable ones before it are included, so that they are dialled and their
// return is noticed.
func firstReachable(members []Member, self Member, down func(string) bool, n int) []Member {
	var out []Member
	for _, m := range members {
		if n == 0 {
			return out
		}
		if m == self {
			n--
			continue
		}
		out = append(out, m)
		if !down(m.Instance) {
			n--
		}
	}
	return out
}

func hash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum32()
}
