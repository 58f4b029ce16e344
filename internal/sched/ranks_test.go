package sched_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/sched"
	"shallotcourse/internal/topo"
)

// Guards against ranks for priorities that no request can have, by which services are
// ranked whose requests are all equally urgent.
func TestClassesInUse(t *testing.T) {
	account := func(name string, priority int) topo.Account { return topo.Account{Name: name, Priority: &priority} }
	for _, c := range []struct {
		name     string
		public   bool
		accounts []topo.Account
		want     []int
	}{
		{"no accounts declared", false, nil, []int{1}},
		{"all accounts have the same", false, []topo.Account{account("a", 0), account("b", 0)}, []int{0, 0}},
		{"one has none", false, []topo.Account{account("a", 0), {Name: "b"}}, []int{1, 0}},
		{"public route", true, []topo.Account{account("a", 0)}, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			keys := map[string][]string{"a": {"key-a"}, "b": {"key-b"}}
			route := topo.Route{Name: "r", Prefix: "/", Priority: 1, Public: c.public, Objective: time.Second, Shares: []topo.Share{{Service: "s", Weight: 1}}}
			config := topo.NewConfig(1, topo.Limits{}, []topo.Route{route}, []topo.Service{{Name: "s", Model: &topo.Model{}}}, c.accounts, keys)
			var got []int
			for _, class := range sched.Classes(config)["s"] {
				got = append(got, class.Priority)
			}
			is.Equal(got, c.want)
		})
	}
}
