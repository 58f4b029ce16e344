// Package fleet keeps the membership: it merges the platform's lagging
// instance list, this process's own links and announcements of leaving
// processes into one immutable view.
package fleet

import (
	"time"

	"shallotcourse/internal/wire"
)

const (
	// Live is an instance that may get work.
	Live State = "Live"
	// Leaving is an instance that takes no new work.
	Leaving State = "Leaving"
	// Suspect is an instance whose links to this process were all lost and
	// that is still listed.
	Suspect State = "Suspect"
	// Gone is an instance that is neither linked nor listed.
	Gone State = "Gone"
)

type (
	// State is the merged state of an instance.
	State string

	// Instance is the merged knowledge of one instance.
	Instance struct {
		Name string
		// Incarnation is empty until a link has come up.
		Incarnation string
		Role        wire.Role
		DataCentre  string
		// Address is where the instance accepts links.
		Address string
		// Target is the target of an agent, empty until a link has come up.
		Target string
		State  State
		// Linked tells whether this process has a link to the instance.
		Linked bool
		// Seen is the time since the instance last gave a sign of life on a
		// link; 0 while it is linked, negative if it never had one.
		Seen time.Duration
	}

	// View is the merged membership. It is never changed after it is built.
	View struct {
		// Instances is in order of the names.
		Instances []Instance
		// ListAge is the time since the last list; negative without a list.
		ListAge time.Duration
	}
)

// Get returns an instance by name.
func (v View) Get(name string) (Instance, bool) {
	for _, i := range v.Instances {
		if i.Name == name {
			return i, true
		}
	}
	return Instance{}, false
}

// With returns the instances of a role in one of the given states.
func (v View) With(role wire.Role, states ...State) []Instance {
	var out []Instance
	for _, i := range v.Instances {
		for _, s := range states {
			if i.Role == role && i.State == s {
				out = append(out, i)
			}
		}
	}
	return out
}
