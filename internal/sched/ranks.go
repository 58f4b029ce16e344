package sched

import (
	"slices"

	"shallotcourse/internal/topo"
)

// Classes returns the classes of requests that a configuration allows, by service with a
// model; the targets of others have no memory to share and know no priorities. The
// priority of an account takes precedence over that of the route, on routes that need a
// key.
func Classes(c topo.Config) map[string][]Class {
	accounts := c.Accounts()
	out := map[string][]Class{}
	for _, r := range c.Routes() {
		var classes []Class
		if r.Public || c.Keyless() || slices.ContainsFunc(accounts, func(a topo.Account) bool { return a.Priority == nil }) {
			classes = append(classes, Class{r.Priority, r.Objective})
		}
		for _, a := range accounts {
			if a.Priority != nil && !r.Public {
				classes = append(classes, Class{*a.Priority, r.Objective})
			}
		}
		for _, share := range r.Shares {
			if service, ok := c.Service(share.Service); ok && service.Model != nil {
				out[share.Service] = append(out[share.Service], classes...)
			}
		}
	}
	return out
}
