package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/bounds"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// outageThreshold is the time without a response after which the store is
	// taken to have been down, so that heartbeats of targets may have lapsed
	// meanwhile.
	outageThreshold = 5 * time.Second
	// lapseGracePeriod is how long targets that vanished during an outage are
	// kept while they may come back.
	lapseGracePeriod = 2200 * time.Millisecond
	// goneTTL is how long the incarnations of removed targets are remembered, so
	// that an older copy of the store does not bring them back.
	goneTTL = time.Minute
	// copyDoubt is how long an entry of a restored store that contradicts what is
	// known is not used, unless it is written again. The platform removes entries
	// of targets that have been silent for three seconds.
	copyDoubt = 5 * time.Second
	// maxRemoved is the maximum number of removed entries that are remembered.
	maxRemoved = 4096
	// overlayTTL is how long a target's own report takes precedence over its
	// entry in the list, which lags by a heartbeat.
	overlayTTL = 4 * time.Second
)

type (
	// Fleet is the target list with the time of its reading.
	Fleet struct {
		topo.Fleet
		// Read is the boot clock's time of the last reading; 0 is never.
		Read time.Duration
	}

	// Fleets follows the target list.
	Fleets struct {
		feed
		section *board.Section[Fleet]

		// The fields below are only used within section.Update, whose lock
		// guards them.
		listed map[string]topo.Target
		// lapsedUntil holds the entries that vanished around an outage, with
		// the time at which they are removed unless they come back.
		lapsedUntil map[string]time.Duration
		// overlays holds what targets themselves reported.
		overlays map[string]overlay
		// graceEnd is the end of the grace period after the last outage. copyEnd is
		// the time until which complete lists may be an older copy, because the era
		// of the store has risen.
		graceEnd, copyEnd time.Duration
		// changedAt holds the list version at which each entry was last seen to
		// change, removedAt the version at which entries were removed. Changes
		// before the version historyStart are not known.
		changedAt, removedAt map[string]topo.Version
		historyStart         topo.Version
		// gone holds the incarnations of the targets that were removed lately.
		// doubted holds the entries of a restored store that name an earlier
		// incarnation than is known, or one that is gone.
		gone    map[string]goneTarget
		doubted map[string]doubtedEntry
	}

	goneTarget struct {
		started int64
		expires time.Duration
	}

	doubtedEntry struct {
		target topo.Target
		until  time.Duration
	}

	overlay struct {
		target  topo.Target
		expires time.Duration
	}
)

// NewFleets returns Fleets with an empty list; Run fetches it.
func NewFleets(source Source, clock timer.Service, bootClock BootClock, logger log.Logger) *Fleets {
	return &Fleets{
		feed: newFeed(source, clock, bootClock, logger, bounds.Derive(bounds.Default).Targets), section: board.New(Fleet{}),
		listed: map[string]topo.Target{}, lapsedUntil: map[string]time.Duration{},
		overlays: map[string]overlay{}, changedAt: map[string]topo.Version{}, removedAt: map[string]topo.Version{},
		gone: map[string]goneTarget{}, doubted: map[string]doubtedEntry{},
	}
}

// Section returns the board section that holds the list.
func (f *Fleets) Section() *board.Section[Fleet] { return f.section }

// Age returns the time since the list was last read.
func (f *Fleets) Age() time.Duration { return f.ageOf(f.section.Value().Read) }

// Usable reports whether requests may be sent by the list: while it is at most MaxAge
// old, or if nothing newer is to be had.
func (f *Fleets) Usable() bool { return f.usable(f.Age()) }

// MaxAge returns the age up to which the list shows each leave in time.
func (f *Fleets) MaxAge() time.Duration { return f.times.MaxAge }

// Run follows the store until ctx ends.
func (f *Fleets) Run(ctx context.Context) {
	f.poll(ctx, pollOptions{name: "Target", age: f.Age}, func(ctx context.Context, after topo.Version, wait time.Duration) (topo.Version, time.Duration, error) {
		requestedAt := f.bootClock()
		page, err := f.source.Targets(ctx, after, wait)
		if err == nil {
			f.apply(page, requestedAt)
		}
		return page.Version, f.times.MinInterval - (f.bootClock() - requestedAt), err
	})
}

// ApplySync applies a sync response of another gateway with its complete target
// list, read at the given time.
func (f *Fleets) ApplySync(version topo.Version, targets []topo.Target, read time.Duration, instance string) {
	if v := f.section.Value(); read <= v.Read || version.Era < v.Version.Era {
		return
	}
	_ = level.Debug(f.log).Log("event", "TargetsVouched", "version", version, "from", instance)
	f.apply(TargetPage{Complete: true, Targets: targets, Version: version}, read)
}

// ApplySyncChanges applies a sync response of another gateway with the changes
// of the target list since the version that this one has, read at the given
// time.
func (f *Fleets) ApplySyncChanges(version topo.Version, targets []topo.Target, removed []string, read time.Duration, instance string) {
	if v := f.section.Value(); read <= v.Read || version.Era != v.Version.Era || version.Compare(v.Version) < 0 {
		return
	}
	if len(targets)+len(removed) > 0 {
		_ = level.Debug(f.log).Log("event", "ChangesVouched", "version", version, "targets", len(targets), "gone", len(removed), "from", instance)
	}
	f.apply(TargetPage{Targets: targets, Gone: removed, Version: version}, read)
}

// LastChange returns the version of the last change of the list.
func (f *Fleets) LastChange() topo.Version {
	var last topo.Version
	f.section.Update(func(v Fleet) (Fleet, bool) {
		for _, changes := range []map[string]topo.Version{f.changedAt, f.removedAt} {
			for _, at := range changes {
				if at.Compare(last) > 0 {
					last = at
				}
			}
		}
		return v, false
	})
	return last
}

// ChangesSince returns the version of the list and the changes after another
// version, or the complete list and changes=false if these are not known.
func (f *Fleets) ChangesSince(after topo.Version) (version topo.Version, targets []topo.Target, removed []string, changes bool) {
	f.section.Update(func(v Fleet) (Fleet, bool) {
		version, changes = v.Version, after.Era == v.Version.Era && after.Number > 0 && after.Compare(f.historyStart) >= 0
		for id, t := range f.listed {
			if !changes || f.changedAt[id].Compare(after) > 0 {
				targets = append(targets, t)
			}
		}
		for id, at := range f.removedAt {
			if changes && at.Compare(after) > 0 {
				removed = append(removed, id)
			}
		}
		return v, false
	})
	return version, targets, removed, changes
}

// Overlay records what targets reported of themselves, which is newer than the
// list. The list is built anew only if a report differs from the last one, since
// the planner's reports are received many times.
func (f *Fleets) Overlay(targets ...topo.Target) {
	f.section.Update(func(v Fleet) (Fleet, bool) {
		now := f.bootClock()
		changed := false
		for _, t := range targets {
			old, known := f.overlays[t.ID]
			if known && now <= old.expires && old.target.Started == t.Started && t.Sequence < old.target.Sequence {
				continue // made before a later order
			}
			changed = changed || !known || old.target != t || now > old.expires
			f.overlays[t.ID] = overlay{t, now + overlayTTL}
		}
		if !changed {
			return v, false
		}
		return f.withOverlays(v.Version, v.Read), true
	})
}

// apply merges a page of the target list that was read at readAt. After an outage
// of the store, or after it has come back from an older copy, it starts a grace
// period, in which ready targets that are missing from the list stay in use.
func (f *Fleets) apply(page TargetPage, readAt time.Duration) {
	for _, m := range page.Malformed {
		_ = level.Error(f.log).Log("event", "TargetMalformed", "err", m)
	}
	f.section.Update(func(v Fleet) (Fleet, bool) {
		if page.Version.Compare(v.Version) < 0 {
			return v.withOlderPage(page.Version, readAt)
		}
		now := f.bootClock()
		restored := v.Read > 0 && page.Version.Era > v.Version.Era
		if restored || v.Read > 0 && readAt-v.Read > outageThreshold {
			f.graceEnd = now + lapseGracePeriod
		}
		if restored {
			// Another gateway may have named the era, so this one may read the copy
			// after that.
			f.copyEnd = now + copyDoubt
		}
		removed := page.Gone
		if page.Complete {
			named := map[string]bool{}
			for _, t := range page.Targets {
				named[t.ID] = true
			}
			maps.DeleteFunc(f.doubted, func(id string, _ doubtedEntry) bool { return !named[id] })
			for id := range f.listed {
				if !named[id] && !slices.Contains(removed, id) {
					removed = append(removed, id)
				}
			}
		}
		if f.historyStart.Era != page.Version.Era || f.historyStart.IsZero() || len(f.removedAt) > maxRemoved {
			clear(f.removedAt)
			f.historyStart = page.Version
		}
		for _, id := range removed {
			f.remove(id, now, page.Version)
		}
		for _, t := range page.Targets {
			switch d, doubted := f.doubted[t.ID]; {
			case doubted && page.Complete && d.target.Started == t.Started:
				// It need not have been written again.
			case page.Complete && now < f.copyEnd && f.contradicts(t, now):
				_ = level.Info(f.log).Log("event", "TargetDoubtedInCopy", "target", t.ID, "born", t.Started, "version", page.Version)
				f.doubted[t.ID] = doubtedEntry{t, now + copyDoubt}
			default:
				f.put(t, page.Version)
			}
		}
		for _, d := range f.doubted {
			if now >= d.until {
				f.put(d.target, topo.Version{Era: page.Version.Era, Number: page.Version.Number + 1})
			}
		}
		for id, until := range f.lapsedUntil {
			if now >= until {
				_ = level.Info(f.log).Log("event", "TargetGone", "target", id, "version", page.Version, "lapsed", true)
				// Gateways that already have this version have not received the
				// removal.
				f.forget(id, topo.Version{Era: page.Version.Era, Number: page.Version.Number + 1})
			}
		}
		return f.withOverlays(page.Version, max(v.Read, readAt)), true
	})
}

// withOlderPage returns the list after a page of an older version has arrived, and
// whether that changes it. The list holds all that the page shows, and was read when the
// page was or later. A page of an earlier era says nothing about it.
func (v Fleet) withOlderPage(page topo.Version, readAt time.Duration) (Fleet, bool) {
	if page.Era != v.Version.Era || readAt <= v.Read {
		return v, false
	}
	v.Read = readAt
	return v, true
}

// contradicts reports whether an entry names an incarnation that is known to have
// been replaced or removed.
func (f *Fleets) contradicts(t topo.Target, now time.Duration) bool {
	if old, known := f.listed[t.ID]; known {
		return t.Started < old.Started
	}
	g, gone := f.gone[t.ID]
	return gone && now < g.expires && t.Started <= g.started
}

func (f *Fleets) put(t topo.Target, version topo.Version) {
	old, known := f.listed[t.ID]
	if known && old.State == topo.Draining && old.Started == t.Started && t.Started != 0 {
		// An incarnation that drains never becomes ready again; an older copy of
		// the store may say so.
		t.State = topo.Draining
	}
	switch {
	case !known:
		_ = level.Info(f.log).Log("event", "TargetListed", "target", t.ID, "service", t.Service, "address", t.Address,
			"dataCentre", t.DataCentre, "card", t.Card, "born", t.Started, "from", t.Held.From, "to", t.Held.To)
	case old.Started != t.Started, old.State != t.State, old.Held != t.Held, old.Address != t.Address:
		_ = level.Info(f.log).Log("event", "TargetChanged", "target", t.ID, "born", t.Started, "state", int(t.State),
			"from", t.Held.From, "to", t.Held.To)
	}
	// Other gateways may have read the list without a lapsed entry.
	if _, lapsed := f.lapsedUntil[t.ID]; !known || lapsed || old != t {
		f.changedAt[t.ID] = version
	}
	f.listed[t.ID] = t
	delete(f.lapsedUntil, t.ID)
	delete(f.removedAt, t.ID)
	delete(f.gone, t.ID)
	delete(f.doubted, t.ID)
}

// remove removes an entry from the list. During the grace period after an
// outage, a ready target stays in use, because it may still come back.
func (f *Fleets) remove(id string, now time.Duration, version topo.Version) {
	delete(f.doubted, id)
	t, ok := f.listed[id]
	if !ok {
		return
	}
	if now < f.graceEnd && t.State == topo.Ready {
		if f.lapsedUntil[id] == 0 {
			f.lapsedUntil[id] = f.graceEnd
		}
		return
	}
	_ = level.Info(f.log).Log("event", "TargetGone", "target", id)
	f.forget(id, version)
}

func (f *Fleets) forget(id string, version topo.Version) {
	now := f.bootClock()
	maps.DeleteFunc(f.gone, func(_ string, g goneTarget) bool { return now >= g.expires })
	f.gone[id] = goneTarget{f.listed[id].Started, now + goneTTL}
	f.removedAt[id] = version
	delete(f.changedAt, id)
	delete(f.listed, id)
	delete(f.lapsedUntil, id)
	delete(f.overlays, id)
}

// withOverlays returns the list, with entries replaced by their overlays where
// these are newer.
func (f *Fleets) withOverlays(version topo.Version, read time.Duration) Fleet {
	now := f.bootClock()
	targets := make([]topo.Target, 0, len(f.listed))
	for id, t := range f.listed {
		o, ok := f.overlays[id]
		switch {
		case !ok:
		case now > o.expires, o.target.Started < t.Started:
			delete(f.overlays, id)
		case o.target.Started > t.Started:
			// The list does not show the restart of the target yet.
			t = o.target
		default:
			t = t.WithHeld(o.target.Held)
			t.Sequence, t.Loading, t.Pace = o.target.Sequence, o.target.Loading, o.target.Pace
		}
		targets = append(targets, t)
	}
	return Fleet{Fleet: topo.NewFleet(version, targets), Read: read}
}
