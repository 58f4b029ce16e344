package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/platform/sims"
)

// keepCalling sends calls and streams one after the other until stop is called,
// which returns the number of responses and those that were not complete.
func (g *testGateway) keepCalling(events int) (stop func() (served int, failed []string)) {
	var ended atomic.Bool
	done := make(chan struct{})
	served, failed := 0, []string(nil)
	go func() {
		defer close(done)
		for !ended.Load() {
			for _, path := range []string{"/look/x", "/register/x", fmt.Sprintf("/draft/x?events=%d", events)} {
				served++
				if a := g.get(path); a.status != http.StatusOK || a.err != nil {
					failed = append(failed, fmt.Sprintf("%s: status %d, %v", path, a.status, a.err))
				}
			}
		}
	}()
	return func() (int, []string) {
		ended.Store(true)
		<-done
		return served, failed
	}
}

// Guards against rows of other writers that end the gateway, keep it from
// following the list, or are used as targets, and against callers that fail
// because of them.
func TestGatewayOddRows(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	for _, id := range []string{"e1", "e2"} {
		site.AddEngine(id, "x", testModel).SetLayers(0, 8)
	}
	g := startGateway(t, "g1", store, nil).waitReady(t)
	eventually(t, "streams are served", func() bool { return g.get("/draft/x").status == http.StatusOK })
	e1, _ := g.fleets.Section().Value().Target("e1")
	stop := g.keepCalling(3)
	names := func() string {
		out := ""
		for _, target := range g.fleets.Section().Value().All() {
			out += target.ID + " "
		}
		return out
	}
	odd := sims.OddTargets(e1.Address)
	for round := range 3 {
		for name, row := range odd {
			site.Store.Put("servers", "odd "+name, row)
		}
		good := site.AddService(fmt.Sprintf("p%d", 3+round), "x")
		eventually(t, "the list is followed", func() bool {
			_, listed := g.fleets.Section().Value().Target(good.ID)
			return listed
		})
		for name := range odd {
			site.Store.Delete("servers", "odd "+name)
		}
	}
	is.Equal(names(), "e1 e2 p1 p2 p3 p4 p5 ")
	// Another writer may overwrite the row of a target, which is in use again once
	// the target has written it.
	site.Store.Put("servers", "p5", odd["nested lists"])
	eventually(t, "the target is not used", func() bool { return names() == "e1 e2 p1 p2 p3 p4 " })
	site.AddService("p5", "x")
	eventually(t, "the target is used", func() bool { return names() == "e1 e2 p1 p2 p3 p4 p5 " })
	time.Sleep(200 * time.Millisecond)
	served, failed := stop()
	is.True(served > 30)
	is.Equal(failed, nil)
}

// Guards against odd rows among those of the gateways that end a gateway, keep it
// from reading the others, or count as gateways.
func TestGatewayOddMembers(t *testing.T) {
	is := is.New(t)
	site, store, _ := testSite(t)
	g := startGateway(t, "g1", store, nil).waitReady(t)
	ownAddress := g.settings.Advertise
	for key, row := range map[string]string{
		"o01": `null`, "o02": `{`, "o03": strings.Repeat(`{"Instance":`, 20000), "o04": "\xff", "o05": `{"Instance":"another","Address":"10.0.0.1:80","DataCentre":"x"}`,
		"o06": `{"Instance":"o06","DataCentre":"x"}`, "o07": `{"Instance":"o07","Address":"10.0.0.1:99999","DataCentre":"x"}`,
		"o08": `{"Instance":"o08","Address":"10.0.0.1:0","DataCentre":"x"}`, "o09": `{"Instance":"o09","Address":":80","DataCentre":"x"}`,
		"o10": `{"Instance":"o10","Address":"10.0.0.1:80/x","DataCentre":"x"}`, "o11": `{"Instance":"o11","Address":"a@10.0.0.1:80","DataCentre":"x"}`,
		"o12": `{"Instance":"o12","Address":"10.0.0.1:80\r\n","DataCentre":"x"}`, "o13": `{"Instance":"o13","Address":"10.0.0.1:80"}`,
		"o14": `{"Instance":"o14","Address":"10.0.0.1:80","DataCentre":"x","Power":-1}`,
		"o15": `{"Instance":"o15","Address":"10.0.0.1:80","DataCentre":"x","Power":1e300}`,
		"o16": `{"Instance":"o16","Address":"` + ownAddress + `","DataCentre":"x"}`,
		"o17": `{"Instance":"o17","Address":"10.0.0.1:+80","DataCentre":"x"}`, "o18": `{"Instance":"o18","Address":5,"DataCentre":"x"}`,
		"": `{"Instance":"","Address":"10.0.0.1:80","DataCentre":"x"}`,
	} {
		site.Store.Put("gateways", key, []byte(row))
	}
	other := startGateway(t, "g2", store, nil).waitReady(t)
	eventually(t, "the gateways know one another", func() bool {
		members, _ := g.members.List()
		return len(members) >= 1 && len(g.links.Peers()) > 0 && other.members.Others() >= 1
	})
	time.Sleep(time.Second)
	for _, gateway := range []*testGateway{g, other} {
		members, _ := gateway.members.List()
		for _, m := range members {
			// Only the gateway at an address knows that another row names it too.
			is.True(m.Instance == "g1" || m.Instance == "g2" || m.Instance == "o16" && gateway == other)
		}
		is.Equal(gateway.get("/look/x").status, http.StatusOK)
	}
}
