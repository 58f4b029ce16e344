package sched

import "shallotcourse/internal/topo"

// Classes returns the classes of requests that a configuration allows, by service. The
// priority of an account takes precedence over that of the route, on routes that need a
// key.
func Classes(c topo.Config) map[string][]Class {
	accounts := c.Accounts()
	out := map[string][]Class{}
	for _, r := range c.Routes() {
		classes := []Class{{r.Priority, r.Objective}}
		for _, a := range accounts {
			if a.Priority != nil && !r.Public {
				classes = append(classes, Class{*a.Priority, r.Objective})
			}
		}
		for _, share := range r.Shares {
			out[share.Service] = append(out[share.Service], classes...)
		}
	}
	return out
}
