// Package fleet tracks which instances exist and whether they take work. It
// merges the platform's instance list, which lags, with the links of this
// process and the announcements of leaving instances into one immutable view.
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
	// Suspect is a listed instance that was linked to this process and has no
	// open link now.
	Suspect State = "Suspect"
	// Gone is an instance that is neither linked nor listed.
	Gone State = "Gone"
)

type (
	// State is the state of an instance in the merged view.
	State string

	// Instance is one instance in the merged view.
	Instance struct {
		Name string
		// Incarnation is empty before the first link.
		Incarnation string
		Role        wire.Role
		DataCentre  string
		// Address is the address at which the instance accepts links.
		Address string
		// Target is the target of an agent; empty before the first link.
		Target string
		State  State
		// Linked is true when this process has an open link to the instance.
		Linked bool
		// Seen is the time since the instance was last linked; 0 while it is
		// linked, negative before the first link.
		Seen time.Duration
	}

	// View is the merged membership at one time. It is immutable.
	View struct {
		// Instances is sorted by name.
		Instances []Instance
		// ListAge is the time since the last read of the instance list;
		// negative before the first.
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

// Filter returns the instances of a role that are in one of the given states.
func (v View) Filter(role wire.Role, states ...State) []Instance {
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
