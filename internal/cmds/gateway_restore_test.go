package cmds

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/timer"
)

// planners returns the names of the gateways that plan.
func planners(gateways []*testGateway) []string {
	var out []string
	for _, g := range gateways {
		if g.planner.Plans() {
			out = append(out, g.settings.Instance)
		}
	}
	return out
}

// heard returns how many gateways have had a state of the planner lately.
func heard(gateways []*testGateway) int {
	n := 0
	for _, g := range gateways {
		if _, ago := g.peers.OtherPlanner(); ago < time.Second {
			n++
		}
	}
	return n
}

// Guards against a planner whose term goes back when the store is restored: the
// others ignore it, two gateways plan at once, and then none does until the store
// has given out as many versions again.
func TestPlannerAfterARestore(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	site.AddEngine("e1", "x", testModel).SetLayers(0, 8)
	var all []*testGateway
	for _, name := range []string{"g1", "g2", "g3"} {
		all = append(all, startGateway(t, name, store, nil))
	}
	eventually(t, "one plans and the others hear it", func() bool { return len(planners(all)) == 1 && heard(all) == 2 })
	planner := planners(all)[0]
	for range 2 { // restores in series
		older := site.Store.Copy()
		row := string(site.Store.Value("leases", "planner"))
		for range 30 {
			site.Store.Put("other", "k", []byte(row))
		}
		time.Sleep(5 * time.Second) // longer than between two renewals
		site.Store.Restore(older)
		silentSince := time.Now()
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			names := planners(all)
			is.True(len(names) <= 1) // planners at once
			if slices.Equal(names, []string{planner}) && heard(all) == 2 {
				silentSince = time.Now()
			}
			if silent := time.Since(silentSince); silent > 2*time.Second {
				t.Fatalf("the planner was lost for %s; planning: %v, heard by %d", silent, names, heard(all))
			}
		}
	}
}

// Guards against a target or a configuration that a gateway does not learn of
// from another one after a restore, because its own list has a higher version of
// the store's earlier era.
func TestListsAmongGatewaysOfTwoEras(t *testing.T) {
	site, store, _ := testSite(t)
	link, err := relay.Start("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	one := startGateway(t, "g1", store, nil).waitReady(t)
	two := startGateway(t, "g2", link.Address(), nil).waitReady(t)
	eventually(t, "the gateways are linked", func() bool { return one.gatewayCount.Load() == 2 && len(two.links.Peers()) == 1 })
	older := site.Store.Copy()
	for range 100 {
		site.Store.Put("other", "k", nil)
	}
	site.AddService("p3", "x")
	listed := func(g *testGateway, id string) bool {
		_, ok := g.fleets.Section().Value().Target(id)
		return ok
	}
	eventually(t, "the last target before the restore is listed", func() bool { return listed(one, "p3") && listed(two, "p3") })
	link.SilenceNew(true)
	link.Silence()
	site.Store.Restore(older)
	site.AddService("p4", "x")
	site.WriteConfig(testKey, "key-2")
	eventually(t, "the gateway that reads the store has the target", func() bool { return listed(one, "p4") })
	eventually(t, "the other one has it as well", func() bool { return listed(two, "p4") })
	eventually(t, "the other one has the configuration", func() bool {
		return two.get("/look/x", "Authorization", "Bearer key-2").status == http.StatusOK
	})
	link.SilenceNew(false)
}

// Guards against rows of the gateways and of the planner that are missing for
// seconds after a restore, and against links that are closed for it.
func TestOwnRowsAfterARestore(t *testing.T) {
	site, store, _ := testSite(t)
	site.AddEngine("e1", "x", testModel).SetLayers(0, 8)
	older := site.Store.Copy()
	var all []*testGateway
	for _, name := range []string{"g1", "g2", "g3"} {
		all = append(all, startGateway(t, name, store, nil).waitReady(t))
	}
	eventually(t, "all know all, and one plans", func() bool { return len(planners(all)) == 1 && heard(all) == 2 })
	_ = timer.Sleep(t.Context(), all[0].clock, 6*time.Second) // the members are read less often then
	site.Store.Restore(older)
	rows := func() bool {
		for _, name := range []string{"g1", "g2", "g3"} {
			if site.Store.Value("gateways", name) == nil {
				return false
			}
		}
		return site.Store.Value("leases", "planner") != nil
	}
	returned := time.Now()
	for !rows() {
		for _, g := range all {
			if g.gatewayCount.Load() != 3 {
				t.Fatalf("%s counts %d gateways", g.settings.Instance, g.gatewayCount.Load())
			}
		}
		if time.Since(returned) > 3*time.Second {
			t.Fatal("the rows are not written within 3 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, g := range all {
			if g.gatewayCount.Load() != 3 {
				t.Fatalf("%s counts %d gateways", g.settings.Instance, g.gatewayCount.Load())
			}
		}
	}
}

// Guards against followers whose rows stay missing after a restore, because their
// leader still lists them.
func TestRowsOfFollowersAfterARestore(t *testing.T) {
	site, store, _ := testSite(t)
	older := site.Store.Copy()
	all := startGroups(t, store)
	time.Sleep(6 * time.Second) // the members are read less often then
	site.Store.Restore(older)
	returned := time.Now()
	missing := func() []string {
		var out []string
		for _, g := range all {
			if site.Store.Value("gateways", g.settings.Instance) == nil {
				out = append(out, g.settings.Instance)
			}
		}
		return out
	}
	for names := missing(); len(names) > 0; names = missing() {
		if time.Since(returned) > 4*time.Second {
			t.Fatalf("rows missing after 4 s: %v", names)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a gateway that starts just after a restore and accepts a key that
// the other gateways know to be revoked, because the store has an older
// configuration. The names decide which gateway dials the other.
func TestGatewayThatStartsAfterARestore(t *testing.T) {
	for _, name := range []string{"a", "z"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, store, _ := testSite(t)
			one := startGateway(t, "g1", store, nil).waitReady(t)
			_ = timer.Sleep(t.Context(), one.clock, 5*time.Second) // the members are read less often then
			older := site.Store.Copy()
			version := site.WriteConfig("key-2")
			eventually(t, "the key is revoked", func() bool { return one.configs.Section().Value().Version == version })
			site.Store.Restore(older)
			g := startGateway(t, name, store, func(s *conf.Gateway) { s.FirstStart = false })
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				is.True(g.get("/look/x").status != http.StatusOK) // the revoked key
			}
			is.Equal(g.get("/look/x", "Authorization", "Bearer key-2").status, http.StatusOK)
		})
	}
}
