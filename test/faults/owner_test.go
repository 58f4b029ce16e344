//go:build faults

package faults

import (
	"testing"
	"time"

	"shallotcourse/internal/fakes/fengn"
	"shallotcourse/internal/fault"
	"shallotcourse/pkg/resrc"
)

func isConflict(err error) bool { return fault.Is(err, fault.Conflict) }

// Guards against an order by an agent that was frozen past its lease while
// another agent took the target over, on both kinds of engines.
func TestFrozenOwner(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		name := "ChecksFencing"
		if ignore {
			name = "IgnoresFencing"
		}
		t.Run(name, func(t *testing.T) { testFrozenOwner(t, ignore) })
	}
}

func testFrozenOwner(t *testing.T, ignore bool) {
	c := newCluster(t, plan{entries: 1, stages: 1, replicas: 1, ignoreFence: ignore, relayed: true, extraAgent: `Lease = "1s"` + "\n" + `OrderTimeout = "1s"`})
	old := c.agents[0]
	// The old owner is frozen while the declared version changes, so that it
	// wakes up with an order to send.
	old.freeze()
	// No entry tells the old owner of the new configuration when it wakes up.
	for _, n := range []*node{old, c.entries[0]} {
		n.relay.Refuse(true)
		n.relay.Cut()
	}
	second := *old
	a := ports(t, 2)
	second.operator, second.link, second.relay = a[0], a[1], nil
	second.proc = &proc{t: t, name: "agent-second"}
	c.put(resrc.Resource{Kind: resrc.KindModelVersion, Name: "oak-2", Spec: resrc.ModelVersion{Model: modelName, Layers: modelLayers}})
	spec := c.targetSpec(&second)
	spec.Version = "oak-2"
	c.put(resrc.Resource{Kind: resrc.KindTarget, Name: old.target, Revision: c.revision(old.target), Spec: spec})
	c.startNode(&second)
	eventually(t, 20*time.Second, "takeover", func() error { return c.holds(old, "oak-2") })
	// The second owner releases its claim, so that the old one need not wait.
	time.Sleep(1500 * time.Millisecond)
	before := c.orders(old)
	// With a slow table the old owner looks at the engine before it has read
	// the new configuration.
	c.faults(c.platformURL, map[string]any{"Delay": "200ms"})
	old.thaw()
	time.Sleep(5 * time.Second)
	for _, o := range c.orders(old)[len(before):] {
		if o.Fence < before[len(before)-1].Fence {
			t.Errorf("order with token %d was executed after token %d", o.Fence, before[len(before)-1].Fence)
		}
		if o.Version == versionName {
			t.Errorf("order with token %d went back to the version before", o.Fence)
		}
	}
	if err := c.holds(old, "oak-2"); err != nil {
		t.Error(err)
	}
	t.Logf("orders executed: %d before, %d after the old owner woke up", len(before), len(c.orders(old))-len(before))
}

func (c *cluster) holds(n *node, version string) error {
	var s struct{ Version string }
	c.getJSON(n.standinURL+"/state", &s)
	if s.Version != version {
		return fault.Newf(fault.NotFound, "the engine holds %q, not %q", s.Version, version)
	}
	return nil
}

func (c *cluster) orders(n *node) []orderSeen {
	c.t.Helper()
	var s fengn.Stats
	c.getJSON(n.standinURL+"/stats", &s)
	var out []orderSeen
	for _, o := range s.Orders {
		out = append(out, orderSeen{o.Fence, o.Version})
	}
	return out
}

type orderSeen struct {
	Fence   uint64
	Version string
}
