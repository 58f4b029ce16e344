package cmds

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"shallotcourse/internal/fakes/fraw"
	"shallotcourse/internal/fault"
)

// brokenResponses returns broken responses by name. ID in them stands for that of the
// request.
func brokenResponses(t *testing.T) map[string]string {
	t.Helper()
	archive, err := txtar.ParseFile("testdata/answers/broken.txtar")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, c := range archive.Files {
		response, err := strconv.Unquote(`"` + strings.ReplaceAll(strings.TrimSpace(string(c.Data)), "\n", "") + `"`)
		if err != nil {
			t.Fatalf("%s: %v", c.Name, err)
		}
		out[c.Name] = response
	}
	return out
}

// Guards against a broken response that callers get as an answer, or that ends their
// connection without one.
func TestGatewayRefusesBrokenResponses(t *testing.T) {
	for name, response := range brokenResponses(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			site, store := uploadSite(t)
			for id, service := range map[string]string{"c1": "plain", "c2": "llm"} {
				addRawTarget(t, site, id, service, response, fraw.End)
			}
			g := startGateway(t, "g1", store, nil)
			g.waitListed(t, 2)
			for _, path := range []string{"/look/x", "/register/x", "/draft/x"} {
				a := g.get(path)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusBadGateway)
				is.Equal(a.header.Get(fault.Header), string(fault.Unknown))
				is.Equal(a.header.Get("Response-Seal"), "")
			}
		})
	}
}

// Guards against a repeatable request that fails because one of two targets sends broken
// responses.
func TestGatewayRetriesAfterBrokenResponses(t *testing.T) {
	is := is.New(t)
	site, store := uploadSite(t)
	addRawTarget(t, site, "c1", "plain", brokenResponses(t)["status 000"], fraw.End)
	g := startGateway(t, "g1", store, nil)
	g.waitListed(t, 1)
	is.Equal(g.get("/look/x").status, http.StatusBadGateway)
	site.AddService("p1", "x")
	g.waitListed(t, 2)
	for range 5 {
		is.Equal(g.get("/look/x").status, http.StatusOK)
	}
}
