package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/plat"
	"shallotcourse/internal/wire"
)

// keepGone is how long an instance that is gone stays in the view, so that
// operators can see it and a late announcement does not bring it back.
const keepGone = 5 * time.Minute

type (
	// Facts is all that was observed. It is immutable; the With methods return
	// the facts after one more observation.
	Facts struct {
		records map[string]record
		// listed is the time of the last list; zero without one.
		listed time.Time
	}

	// record holds the observations of one instance.
	record struct {
		hello wire.Hello
		// links counts the open links of hello's incarnation.
		links int
		// up is the time of the incarnation's first link, lost the time at
		// which links went to 0.
		up, lost time.Time
		// announced is set for an incarnation that said that it leaves.
		announced bool
		// row is the last row of the list, in valid while listed is true.
		row    plat.Instance
		listed bool
		// leavingSince is the time of the first list with the row Leaving.
		leavingSince time.Time
		// unlisted is the time of the first list without the row.
		unlisted time.Time
	}
)

// WithList returns the facts after a list of the platform.
func (f Facts) WithList(list []plat.Instance, now time.Time) Facts {
	f = f.clone()
	f.listed = now
	rows := make(map[string]plat.Instance, len(list))
	for _, row := range list {
		rows[row.Name] = row
		r := f.records[row.Name]
		if row.State != plat.StateLeaving {
			r.leavingSince = time.Time{}
		} else if r.leavingSince.IsZero() {
			r.leavingSince = now
		}
		r.row, r.listed, r.unlisted = row, true, time.Time{}
		f.records[row.Name] = r
	}
	for name, r := range f.records {
		if _, ok := rows[name]; ok || !r.listed {
			continue
		}
		r.listed, r.leavingSince, r.unlisted = false, time.Time{}, now
		f.records[name] = r
	}
	return f
}

// WithLink returns the facts after a link came up.
func (f Facts) WithLink(h wire.Hello, now time.Time) Facts {
	return f.with(h.Instance, func(r *record) {
		if r.hello.Incarnation != h.Incarnation {
			r.links, r.up, r.announced = 0, now, false
		}
		r.hello = h
		r.links++
	})
}

// WithLoss returns the facts after a link went down. The loss of a link to an
// older incarnation says nothing of the current one.
func (f Facts) WithLoss(h wire.Hello, now time.Time) Facts {
	if f.records[h.Instance].hello.Incarnation != h.Incarnation {
		return f
	}
	return f.with(h.Instance, func(r *record) {
		r.links = max(0, r.links-1)
		r.lost = now
	})
}

// WithLeaving returns the facts after an incarnation announced that it leaves.
// The announcement holds until the next incarnation.
func (f Facts) WithLeaving(h wire.Hello) Facts {
	if f.records[h.Instance].hello.Incarnation != h.Incarnation {
		return f
	}
	return f.with(h.Instance, func(r *record) { r.announced = true })
}

// View merges the facts. It is pure: equal facts and times give equal views.
func (f Facts) View(now time.Time) View {
	v := View{ListAge: -1}
	if !f.listed.IsZero() {
		v.ListAge = now.Sub(f.listed)
	}
	for _, name := range slices.Sorted(maps.Keys(f.records)) {
		r := f.records[name]
		i := r.instance(name, now)
		if i.State == Gone && now.Sub(r.end()) > keepGone {
			continue
		}
		v.Instances = append(v.Instances, i)
	}
	return v
}

// Pruned returns the facts without instances that have left the view.
func (f Facts) Pruned(now time.Time) Facts {
	g := f.clone()
	maps.DeleteFunc(g.records, func(_ string, r record) bool {
		return r.state() == Gone && now.Sub(r.end()) > keepGone
	})
	return g
}

func (r record) instance(name string, now time.Time) Instance {
	i := Instance{
		Name: name, Role: wire.Role(r.row.Role), DataCentre: r.row.DataCentre, Address: r.row.Address,
		State: r.state(), Linked: r.links > 0, Seen: -1,
	}
	if h := r.hello; h.Instance != "" {
		i.Incarnation, i.Role, i.Target = h.Incarnation, h.Role, h.Target
		i.DataCentre, i.Address = prefer(h.DataCentre, i.DataCentre), prefer(h.Address, i.Address)
		i.Seen = 0
		if r.links == 0 {
			i.Seen = now.Sub(r.lost)
		}
	}
	return i
}

// state merges the observations. A link outweighs the list, because the list
// lags, except that a leaving row counts unless the incarnation was first
// linked after that row appeared and the row may be that of its predecessor.
func (r record) state() State {
	listedLeaving := !r.leavingSince.IsZero() && !r.up.After(r.leavingSince)
	switch {
	case r.links == 0 && !r.listed:
		return Gone
	case r.announced || listedLeaving:
		return Leaving
	case r.links > 0 || r.hello.Instance == "":
		return Live
	default:
		return Suspect
	}
}

// end is the time at which the instance was last linked or listed.
func (r record) end() time.Time {
	if r.lost.After(r.unlisted) {
		return r.lost
	}
	return r.unlisted
}

func (f Facts) with(name string, change func(*record)) Facts {
	f = f.clone()
	r := f.records[name]
	change(&r)
	f.records[name] = r
	return f
}

func (f Facts) clone() Facts {
	records := make(map[string]record, len(f.records)+1)
	maps.Copy(records, f.records)
	return Facts{records: records, listed: f.listed}
}

func prefer(first, second string) string {
	if strings.TrimSpace(first) == "" {
		return second
	}
	return first
}
