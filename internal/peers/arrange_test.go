package peers

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func gateways(dataCentres, each int) []Member {
	var out []Member
	for dc := range dataCentres {
		for i := range each {
			out = append(out, Member{
				Instance: fmt.Sprintf("g%d-%03d", dc, i), Address: fmt.Sprintf("10.%d.0.%d:1", dc, i), DataCentre: fmt.Sprintf("dc%d", dc),
				MilliCores: 100 * (1 + i%4),
			})
		}
	}
	return out
}

func others(all []Member, self Member) []Member {
	return slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m == self })
}

// Guards against a full mesh of many gateways, and against fewer links than the
// exchange of state needs.
func TestLinksOfManyGateways(t *testing.T) {
	noneDown := func(string) bool { return false }
	for _, each := range []int{10, 30, 100} {
		t.Run(fmt.Sprint(3*each), func(t *testing.T) {
			is := is.New(t)
			all := gateways(3, each)
			links, maxLinks, leaders := 0, 0, 0
			for _, self := range all {
				a := topologyOf(self, others(all, self), noneDown, false)
				is.True(!a.Mesh)
				links += len(a.Links)
				maxLinks = max(maxLinks, len(a.Links))
				if a.Leader == self.Instance {
					leaders++
					is.Equal(self.MilliCores, 400) // the most in its group
				}
			}
			is.True(leaders >= 3 && leaders <= 3*(1+each/maxGroupGateways))
			is.True(maxLinks < leaders+2)
			is.True(links <= 2*len(all)+leaders*leaders)
		})
	}
	is := is.New(t)
	few := gateways(2, 3)
	dials := 0
	for _, self := range few {
		a := topologyOf(self, others(few, self), noneDown, false)
		is.True(a.Mesh)
		dials += len(a.Links)
	}
	is.Equal(dials, 15) // one link for each pair
}

// Guards against gateways that receive no state: whichever gateways are down,
// each of the others must have a link to a leader that is up, and the leaders
// must be linked to one another.
func TestArrangementAroundThoseThatAreDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := gateways(rapid.IntRange(1, 4).Draw(t, "data centres"), rapid.IntRange(9, 50).Draw(t, "gateways each"))
		unreachable := map[string]bool{}
		for range rapid.IntRange(0, len(all)-1).Draw(t, "down") {
			unreachable[rapid.SampledFrom(all).Draw(t, "which").Instance] = true
		}
		down := func(instance string) bool { return unreachable[instance] }
		leaders := map[string]Topology{}
		for _, self := range all {
			if unreachable[self.Instance] {
				continue
			}
			a := topologyOf(self, others(all, self), down, false)
			switch {
			case unreachable[a.Leader]:
				t.Fatalf("%s follows %s, which is down", self.Instance, a.Leader)
			case a.Leader == self.Instance:
				leaders[self.Instance] = a
			case !slices.ContainsFunc(a.Links, func(m Member) bool { return m.Instance == a.Leader }):
				t.Fatalf("%s has no link to its leader %s", self.Instance, a.Leader)
			}
		}
		for instance, a := range leaders {
			for other := range leaders {
				if other != instance && !slices.ContainsFunc(a.Links, func(m Member) bool { return m.Instance == other }) {
					t.Fatalf("leader %s has no link to leader %s", instance, other)
				}
			}
		}
	})
}

// Guards against a gateway that others have chosen as their leader and that
// does not act as one.
func TestFollowedGatewayLinksToTheLeaders(t *testing.T) {
	is := is.New(t)
	all := gateways(3, 10)
	noneDown := func(string) bool { return false }
	for _, self := range all {
		a := topologyOf(self, others(all, self), noneDown, true)
		groups := map[string]bool{}
		for _, m := range a.Links {
			groups[m.DataCentre] = true
		}
		if a.Leader == self.Instance {
			is.Equal(len(groups), 2)
			continue
		}
		is.Equal(len(groups), 3)
	}
}
