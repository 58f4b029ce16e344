package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

const (
	// meshMost is the number of gateways up to which all exchange with all:
	// the messages of all together grow with its square.
	meshMost = 8
	// groupMost bounds the gateways of a group, since its leader answers each
	// of them; larger data centres have several groups.
	groupMost = 40
)

// Arrangement says with whom a gateway exchanges. Up to meshMost gateways
// exchange with all others. More form groups within data centres: followers
// exchange with the leader of their group, and leaders with one another.
type Arrangement struct {
	Mesh bool
	// Group names the group of the gateway, and Leader the instance that leads
	// it.
	Group, Leader string
	// Leads says that the gateway acts as a leader: it leads its group, or
	// others take it for their leader.
	Leads bool
	// Members holds the gateways of the group, this one included.
	Members []Member
	// Links holds the gateways to keep links to. A follower also keeps one to
	// the next leader.
	Links []Member
}

// arrange returns the arrangement of a gateway. Down reports gateways that do
// not answer; Followed says that others take this one for their leader, since
// they cannot reach the one that it sees.
func arrange(self Member, others []Member, down func(instance string) bool, followed bool) Arrangement {
	a := Arrangement{Group: self.DataCentre}
	if len(others) < meshMost {
		a.Mesh = true
		for _, m := range others {
			// Of two gateways, the one whose name is first dials.
			if self.Instance < m.Instance {
				a.Links = append(a.Links, m)
			}
		}
		return a
	}
	groups := groupsOf(append(slices.Clone(others), self))
	for name, members := range groups {
		if !slices.Contains(members, self) {
			continue
		}
		a.Group, a.Members = name, members
		for _, m := range members {
			if a.Leader == "" && (m == self || !down(m.Instance)) {
				a.Leader = m.Instance
			}
		}
		a.Links = untilUp(members, self, down, 2)
	}
	a.Leads = a.Leader == self.Instance || followed
	if !a.Leads {
		return a
	}
	a.Links = nil
	for name, members := range groups {
		if name != a.Group || a.Leader != self.Instance {
			a.Links = append(a.Links, untilUp(members, self, down, 1)...)
		}
	}
	return a
}

// groupsOf divides gateways by data centre, large ones further by name, and sorts
// each group by the right to lead it.
func groupsOf(members []Member) map[string][]Member {
	sizes := map[string]int{}
	for _, m := range members {
		sizes[m.DataCentre]++
	}
	out := map[string][]Member{}
	for _, m := range members {
		name := m.DataCentre
		if parts := (sizes[name] + groupMost - 1) / groupMost; parts > 1 {
			name += "/" + strconv.Itoa(int(hash(m.Instance))%parts)
		}
		out[name] = append(out[name], m)
	}
	for _, g := range out {
		slices.SortFunc(g, func(a, b Member) int {
			return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(hash(a.Instance), hash(b.Instance)), cmp.Compare(a.Instance, b.Instance))
		})
	}
	return out
}

// untilUp returns the members up to the n-th that is not down. Those that are
// down stay on the list, so that their return is seen.
func untilUp(members []Member, self Member, down func(string) bool, n int) []Member {
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
