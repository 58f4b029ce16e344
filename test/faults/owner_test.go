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

// Guards against an order that an agent sends after it was frozen beyond the end
// of its lease while another agent took over the target. The engine checks
// fencing tokens in one case and ignores them in the other.
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
	c := newCluster(t, clusterConfig{entries: 1, stages: 1, replicas: 1, ignoreFence: ignore, relayed: true, extraAgent: `Lease = "1s"` + "\n" + `OrderTimeout = "1s"`})
	old := c.agents[0]
	// The old owner is frozen while the declared version changes, so that it
	// resumes with an order to send.
	old.freeze()
	// No entry can send the new configuration to the old owner when it resumes.
	for _, n := range []*node{old, c.entries[0]} {
		n.relay.RefuseNew(true)
		n.relay.Cut()
	}
	second := *old
	a := freeAddresses(t, 2)
	second.operator, second.link, second.relay = a[0], a[1], nil
	second.proc = &proc{t: t, name: "agent-second"}
	c.put(resrc.Resource{Kind: resrc.KindModelVersion, Name: "oak-2", Spec: resrc.ModelVersion{Model: modelName, Layers: modelLayers}})
	spec := c.targetSpec(&second)
	spec.Version = "oak-2"
	c.put(resrc.Resource{Kind: resrc.KindTarget, Name: old.target, Revision: c.revision(old.target), Spec: spec})
	c.startNode(&second)
	eventually(t, 20*time.Second, "takeover", func() error { return c.checkVersion(old, "oak-2") })
	// The second owner releases its claim, so that the old one does not have to
	// wait before it claims.
	time.Sleep(1500 * time.Millisecond)
	before := c.orders(old)
	// A slow table makes the old owner check the engine before it has read the
	// new configuration.
	c.setFaults(c.platformURL, map[string]any{"Delay": "200ms"})
	old.thaw()
	time.Sleep(5 * time.Second)
	for _, o := range c.orders(old)[len(before):] {
		if o.Fence < before[len(before)-1].Fence {
			t.Errorf("order with token %d was executed after token %d", o.Fence, before[len(before)-1].Fence)
		}
		if o.Version == versionName {
			t.Errorf("order with token %d returned to the previous version", o.Fence)
		}
	}
	if err := c.checkVersion(old, "oak-2"); err != nil {
		t.Error(err)
	}
	t.Logf("orders executed: %d before, %d after the old owner resumed", len(before), len(c.orders(old))-len(before))
}

// checkVersion fails unless the engine of an agent holds the version.
func (c *cluster) checkVersion(n *node, version string) error {
	var s struct{ Version string }
	c.getJSON(n.standinURL+"/state", &s)
	if s.Version != version {
		return fault.Newf(fault.NotFound, "the engine holds %q, not %q", s.Version, version)
	}
	return nil
}

// orders returns the orders that the engine of an agent has executed.
func (c *cluster) orders(n *node) []executedOrder {
	c.t.Helper()
	var s fengn.Stats
	c.getJSON(n.standinURL+"/stats", &s)
	var out []executedOrder
	for _, o := range s.Orders {
		out = append(out, executedOrder{o.Fence, o.Version})
	}
	return out
}

type executedOrder struct {
	Fence   uint64
	Version string
}
