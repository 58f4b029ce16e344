package follow

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// targetsWait is how long the store may hold an answer about the list. The
	// list changes a few times a minute, so longer waits save calls.
	targetsWait = 2 * time.Second
	// targetsWaitReads is the same for a process that reads for others, and
	// targetsTold the age up to which one that is told leaves the store alone.
	targetsWaitReads = time.Second
	targetsTold      = 3500 * time.Millisecond
	// targetsLeast is the least time between two readings, for lists that
	// change all the time. With a call it stays below the time in which a
	// leaving target must get no more work.
	targetsLeast = 600 * time.Millisecond
	// outage is the time without an answer after which the store counts as
	// having been away, so that heartbeats may have lapsed meanwhile.
	outage = 5 * time.Second
	// lapseGrace is how long entries that vanished during an outage may take
	// to come back.
	lapseGrace = 2200 * time.Millisecond
	// mostRemoved bounds the entries whose removal is remembered.
	mostRemoved = 4096
	// overlayLife bounds how long what a target said itself goes before its
	// entry in the list, which lags by a heartbeat.
	overlayLife = 4 * time.Second
)

type (
	// Fleet is the list of targets with its age.
	Fleet struct {
		topo.Fleet
		// Read is the moment of the last reading; 0 is never.
		Read time.Duration
	}

	// Fleets follows the list of targets.
	Fleets struct {
		feed
		section *board.Section[Fleet]

		// The fields below belong to the section's writers and are guarded by
		// its lock.
		listed map[string]topo.Target
		// lapsed holds entries that vanished around an outage, with the time
		// at which they are taken as gone.
		lapsed map[string]time.Duration
		// overlays holds what targets said of themselves.
		overlays map[string]overlay
		grace    time.Duration
		// stamps holds the version at which each entry was last seen to change,
		// removed the version at which entries went. What changed before
		// horizon is not known.
		stamps, removed map[string]uint64
		horizon         uint64
	}

	overlay struct {
		target topo.Target
		until  time.Duration
	}
)

// NewFleets returns a follower; Run starts it.
func NewFleets(source Source, clock timer.Service, steady Clock, logger log.Logger) *Fleets {
	return &Fleets{
		feed: newFeed(source, clock, steady, logger), section: board.New(Fleet{}),
		listed: map[string]topo.Target{}, lapsed: map[string]time.Duration{},
		overlays: map[string]overlay{}, stamps: map[string]uint64{}, removed: map[string]uint64{},
	}
}

// Section returns the section that holds the list.
func (f *Fleets) Section() *board.Section[Fleet] { return f.section }

// Age is the time since the list was read.
func (f *Fleets) Age() time.Duration { return f.since(f.section.Value().Read) }

// Run reads the list until the context ends.
func (f *Fleets) Run(ctx context.Context) {
	p := poller{name: "Target", age: f.Age, told: targetsTold, waits: waits{targetsWait, targetsWaitReads}}
	f.poll(ctx, p, func(after uint64, wait time.Duration) (uint64, time.Duration, error) {
		asked := f.steady()
		page, err := f.source.Targets(ctx, after, wait)
		if err == nil {
			f.apply(page, asked)
		}
		return page.Version, targetsLeast - (f.steady() - asked), err
	})
}

// Vouched takes over the list of another entry, read at a moment.
func (f *Fleets) Vouched(version uint64, targets []topo.Target, read time.Duration, instance string) {
	if read <= f.section.Value().Read {
		return
	}
	_ = level.Debug(f.log).Log("event", "TargetsVouched", "version", version, "from", instance)
	f.apply(TargetPage{Whole: true, Targets: targets, Version: version}, read)
}

// VouchedChanges takes over what has changed in the list of another entry, read
// at a moment, since the version that this one has.
func (f *Fleets) VouchedChanges(version uint64, targets []topo.Target, gone []string, read time.Duration, instance string) {
	if v := f.section.Value(); read <= v.Read || version < v.Version {
		return
	}
	if len(targets)+len(gone) > 0 {
		_ = level.Debug(f.log).Log("event", "ChangesVouched", "version", version, "targets", len(targets), "gone", len(gone), "from", instance)
	}
	f.apply(TargetPage{Targets: targets, Gone: gone, Version: version}, read)
}

// Newest returns the version of the last change of the list.
func (f *Fleets) Newest() uint64 {
	newest := uint64(0)
	f.section.Update(func(v Fleet) (Fleet, bool) {
		for _, stamp := range f.stamps {
			newest = max(newest, stamp)
		}
		for _, stamp := range f.removed {
			newest = max(newest, stamp)
		}
		return v, false
	})
	return newest
}

// Since returns the version of the list and what has changed after another
// version, or the whole list if that is not known.
func (f *Fleets) Since(after uint64) (version uint64, targets []topo.Target, gone []string, changes bool) {
	f.section.Update(func(v Fleet) (Fleet, bool) {
		version, changes = v.Version, after > 0 && after >= f.horizon
		for id, t := range f.listed {
			if !changes || f.stamps[id] > after {
				targets = append(targets, t)
			}
		}
		for id, stamp := range f.removed {
			if changes && stamp > after {
				gone = append(gone, id)
			}
		}
		return v, false
	})
	return version, targets, gone, changes
}

// Overlay records what a target said of itself, which is newer than the list.
func (f *Fleets) Overlay(t topo.Target) {
	f.section.Update(func(v Fleet) (Fleet, bool) {
		f.overlays[t.ID] = overlay{t, f.steady() + overlayLife}
		return f.merged(v.Version, v.Read), true
	})
}

func (f *Fleets) apply(page TargetPage, asked time.Duration) {
	for _, m := range page.Malformed {
		_ = level.Error(f.log).Log("event", "TargetMalformed", "err", m)
	}
	f.section.Update(func(v Fleet) (Fleet, bool) {
		now := f.steady()
		if v.Read > 0 && asked-v.Read > outage {
			f.grace = now + lapseGrace
		}
		gone := page.Gone
		if page.Whole {
			named := map[string]bool{}
			for _, t := range page.Targets {
				named[t.ID] = true
			}
			for id := range f.listed {
				if !named[id] && !slices.Contains(gone, id) {
					gone = append(gone, id)
				}
			}
		}
		if f.horizon == 0 || len(f.removed) > mostRemoved {
			clear(f.removed)
			f.horizon = page.Version
		}
		for _, id := range gone {
			f.remove(id, now, page.Version)
		}
		for _, t := range page.Targets {
			f.put(t, page.Version)
		}
		for id, due := range f.lapsed {
			if now >= due {
				_ = level.Info(f.log).Log("event", "TargetGone", "target", id, "version", page.Version, "lapsed", true)
				// Those who have this version have not heard of it yet.
				f.forget(id, page.Version+1)
			}
		}
		return f.merged(page.Version, max(v.Read, asked)), true
	})
}

func (f *Fleets) put(t topo.Target, version uint64) {
	old, known := f.listed[t.ID]
	switch {
	case !known:
		_ = level.Info(f.log).Log("event", "TargetListed", "target", t.ID, "service", t.Service, "address", t.Address,
			"dataCentre", t.DataCentre, "born", t.Born, "from", t.Held.From, "to", t.Held.To)
	case old.Born != t.Born, old.State != t.State, old.Held != t.Held, old.Address != t.Address:
		_ = level.Info(f.log).Log("event", "TargetChanged", "target", t.ID, "born", t.Born, "state", int(t.State),
			"from", t.Held.From, "to", t.Held.To)
	}
	if !known || old != t {
		f.stamps[t.ID] = version
	}
	f.listed[t.ID] = t
	delete(f.lapsed, t.ID)
	delete(f.removed, t.ID)
}

// remove takes an entry off the list. During the grace after an outage it may
// still come back, and stays in use until then.
func (f *Fleets) remove(id string, now time.Duration, version uint64) {
	t, ok := f.listed[id]
	if !ok {
		return
	}
	if now < f.grace && t.State == topo.Ready {
		if f.lapsed[id] == 0 {
			f.lapsed[id] = f.grace
		}
		return
	}
	_ = level.Info(f.log).Log("event", "TargetGone", "target", id)
	f.forget(id, version)
}

func (f *Fleets) forget(id string, version uint64) {
	f.removed[id] = version
	delete(f.stamps, id)
	delete(f.listed, id)
	delete(f.lapsed, id)
	delete(f.overlays, id)
}

// merged returns the list with the overlays on top that are newer than it.
func (f *Fleets) merged(version uint64, read time.Duration) Fleet {
	now := f.steady()
	targets := make([]topo.Target, 0, len(f.listed))
	for id, t := range f.listed {
		o, ok := f.overlays[id]
		switch {
		case !ok:
		case now > o.until, o.target.Born < t.Born:
			delete(f.overlays, id)
		case o.target.Born > t.Born:
			// The list does not know of the new lifetime yet.
			t = o.target
		default:
			t = t.WithHeld(o.target.Held)
			t.Sequence, t.Loading, t.Pace = o.target.Sequence, o.target.Loading, o.target.Pace
		}
		targets = append(targets, t)
	}
	return Fleet{Fleet: topo.NewFleet(version, targets), Read: read}
}
