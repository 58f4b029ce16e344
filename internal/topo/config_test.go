package topo_test

import (
	"testing"

	"github.com/matryer/is"

	"shallotcourse/internal/topo"
)

// Guards against routes that never match because a host is spelled otherwise in the
// configuration than in requests.
func TestMatchSpellingsOfHosts(t *testing.T) {
	for _, c := range []struct {
		declared, requested string
		found               bool
	}{
		{"orders.example", "orders.example", true},
		{"Orders.Example", "Orders.Example", true},
		{"Orders.Example", "orders.example", true},
		{"orders.example", "ORDERS.example:8080", true},
		{"orders.example.", "orders.example", true},
		{"orders.example", "orders.example.", true},
		{"Orders.example:8080", "orders.example:8080", true},
		{"10.0.0.1", "10.0.0.1:80", true},
		{"[FD00::1]", "[fd00::1]:80", true},
		{"[fd00::1]", "[fd00::1]", true},
		{"orders.example", "example", false},
		{"orders.example", "orders.example.org", false},
	} {
		t.Run(c.declared+" as "+c.requested, func(t *testing.T) {
			is := is.New(t)
			route := topo.Route{Name: "r", Host: c.declared, Prefix: "/a/"}
			config := topo.NewConfig(1, topo.Limits{}, []topo.Route{route}, nil, nil, nil)
			got, ok := config.Match(c.requested, "/a/x")
			is.Equal(ok, c.found)
			is.Equal(got.Name == "r", c.found)
		})
	}
}

// Guards against a shorter prefix that hides a longer one of the same host in another
// spelling.
func TestMatchPrefixesAcrossSpellings(t *testing.T) {
	is := is.New(t)
	config := topo.NewConfig(1, topo.Limits{}, []topo.Route{
		{Name: "short", Host: "orders.example", Prefix: "/a/"}, {Name: "long", Host: "Orders.example", Prefix: "/a/b/"},
	}, nil, nil, nil)
	for path, name := range map[string]string{"/a/x": "short", "/a/b/x": "long"} {
		r, ok := config.Match("orders.example", path)
		is.True(ok)
		is.Equal(r.Name, name)
	}
}
