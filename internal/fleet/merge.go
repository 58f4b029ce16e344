package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"shallotcourse/internal/plat"
	"shallotcourse/internal/wire"
)

// goneRetention is how long an instance in state Gone stays in the view, so that
// operators can see it and a late announcement does not add it again.
const goneRetention = 5 * time.Minute

type (
	// Observations holds everything that was observed of the instances. It is
	// immutable; the With methods return a copy with one more observation.
	Observations struct {
		records map[string]record
		// lastList is the time of the last list; zero before the first one.
		lastList time.Time
	}

	// record holds the observations of one instance.
	record struct {
		// hello was sent by the latest incarnation that linked; empty before
		// the first link.
		hello wire.Hello
		// openLinks counts the open links of hello's incarnation.
		openLinks int
		// firstLinkUp is when the first link of hello's incarnation came up,
		// lastLinkDown when a link of the instance was last lost.
		firstLinkUp, lastLinkDown time.Time
		// announcedLeaving is true when hello's incarnation announced that it
		// leaves.
		announcedLeaving bool
		// row is the instance's row in the last list that had one; listed is
		// true when that is the last list.
		row    plat.Instance
		listed bool
		// leavingSince is the time of the first of the successive lists that
		// show the instance as leaving; zero when the last list does not.
		leavingSince time.Time
		// unlistedSince is the time of the first list without the instance;
		// zero while it is listed.
		unlistedSince time.Time
	}
)

// WithList returns the observations after a read of the instance list.
func (o Observations) WithList(list []plat.Instance, now time.Time) Observations {
	o = o.clone()
	o.lastList = now
	rows := make(map[string]plat.Instance, len(list))
	for _, row := range list {
		rows[row.Name] = row
		r := o.records[row.Name]
		if row.State != plat.StateLeaving {
			r.leavingSince = time.Time{}
		} else if r.leavingSince.IsZero() {
			r.leavingSince = now
		}
		r.row, r.listed, r.unlistedSince = row, true, time.Time{}
		o.records[row.Name] = r
	}
	for name, r := range o.records {
		if _, ok := rows[name]; ok || !r.listed {
			continue
		}
		r.listed, r.leavingSince, r.unlistedSince = false, time.Time{}, now
		o.records[name] = r
	}
	return o
}

// WithLinkUp returns the observations after a link came up.
func (o Observations) WithLinkUp(h wire.Hello, now time.Time) Observations {
	return o.withRecord(h.Instance, func(r *record) {
		if r.hello.Incarnation != h.Incarnation {
			r.openLinks, r.firstLinkUp, r.announcedLeaving = 0, now, false
		}
		r.hello = h
		r.openLinks++
	})
}

// WithLinkDown returns the observations after a link went down. A lost link of an
// older incarnation is ignored.
func (o Observations) WithLinkDown(h wire.Hello, now time.Time) Observations {
	if o.records[h.Instance].hello.Incarnation != h.Incarnation {
		return o
	}
	return o.withRecord(h.Instance, func(r *record) {
		r.openLinks = max(0, r.openLinks-1)
		r.lastLinkDown = now
	})
}

// WithLeaving returns the observations after an incarnation announced that it
// leaves. The announcement holds until another incarnation links.
func (o Observations) WithLeaving(h wire.Hello) Observations {
	if o.records[h.Instance].hello.Incarnation != h.Incarnation {
		return o
	}
	return o.withRecord(h.Instance, func(r *record) { r.announcedLeaving = true })
}

// View merges the observations. The result depends on them and on now only.
func (o Observations) View(now time.Time) View {
	v := View{ListAge: -1}
	if !o.lastList.IsZero() {
		v.ListAge = now.Sub(o.lastList)
	}
	for _, name := range slices.Sorted(maps.Keys(o.records)) {
		r := o.records[name]
		i := r.instance(name, now)
		if i.State == Gone && now.Sub(r.goneSince()) > goneRetention {
			continue
		}
		v.Instances = append(v.Instances, i)
	}
	return v
}

// Pruned returns the observations without the instances that are no longer in
// the view.
func (o Observations) Pruned(now time.Time) Observations {
	pruned := o.clone()
	maps.DeleteFunc(pruned.records, func(_ string, r record) bool {
		return r.state() == Gone && now.Sub(r.goneSince()) > goneRetention
	})
	return pruned
}

func (r record) instance(name string, now time.Time) Instance {
	i := Instance{
		Name: name, Role: wire.Role(r.row.Role), DataCentre: r.row.DataCentre, Address: r.row.Address,
		State: r.state(), Linked: r.openLinks > 0, Seen: -1,
	}
	if h := r.hello; h.Instance != "" {
		i.Incarnation, i.Role, i.Target = h.Incarnation, h.Role, h.Target
		i.DataCentre, i.Address = firstNonBlank(h.DataCentre, i.DataCentre), firstNonBlank(h.Address, i.Address)
		i.Seen = 0
		if r.openLinks == 0 {
			i.Seen = now.Sub(r.lastLinkDown)
		}
	}
	return i
}

// state merges the observations of one instance. An open link takes precedence
// over the list, because the list lags. A row that shows the instance as leaving
// counts nevertheless, unless the current incarnation first linked after that
// row appeared; the row may then be about the incarnation before.
func (r record) state() State {
	listedLeaving := !r.leavingSince.IsZero() && !r.firstLinkUp.After(r.leavingSince)
	switch {
	case r.openLinks == 0 && !r.listed:
		return Gone
	case r.announcedLeaving || listedLeaving:
		return Leaving
	case r.openLinks > 0 || r.hello.Instance == "":
		return Live
	default:
		return Suspect
	}
}

// goneSince returns the time at which an instance in state Gone was last linked
// or listed.
func (r record) goneSince() time.Time {
	if r.lastLinkDown.After(r.unlistedSince) {
		return r.lastLinkDown
	}
	return r.unlistedSince
}

func (o Observations) withRecord(name string, change func(*record)) Observations {
	o = o.clone()
	r := o.records[name]
	change(&r)
	o.records[name] = r
	return o
}

func (o Observations) clone() Observations {
	records := make(map[string]record, len(o.records)+1)
	maps.Copy(records, o.records)
	return Observations{records: records, lastList: o.lastList}
}

func firstNonBlank(first, second string) string {
	if strings.TrimSpace(first) == "" {
		return second
	}
	return first
}
