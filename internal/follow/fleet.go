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
		source  Source
		clock   timer.Service
		steady  Clock
		log     log.Logger
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
	}

	overlay struct {
		target topo.Target
		until  time.Duration
	}
)

// NewFleets returns a follower; Run starts it.
func NewFleets(source Source, clock timer.Service, steady Clock, logger log.Logger) *Fleets {
	return &Fleets{
		source: source, clock: clock, steady: steady, log: logger, section: board.New(Fleet{}),
		listed: map[string]topo.Target{}, lapsed: map[string]time.Duration{},
		overlays: map[string]overlay{},
	}
}

// Section returns the section that holds the list.
func (f *Fleets) Section() *board.Section[Fleet] { return f.section }

// Age is the time since the list was read.
func (f *Fleets) Age() time.Duration {
	read := f.section.Value().Read
	if read == 0 {
		return time.Hour
	}
	return f.steady() - read
}

// Run reads the list until the context ends.
func (f *Fleets) Run(ctx context.Context) {
	poll(ctx, poller{clock: f.clock, log: f.log, source: "Target", age: f.Age}, func(after uint64) (uint64, time.Duration, error) {
		asked := f.steady()
		page, err := f.source.Targets(ctx, after, targetsWait)
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
		for _, id := range gone {
			f.remove(id, now)
		}
		for _, t := range page.Targets {
			f.put(t)
		}
		for id, due := range f.lapsed {
			if now >= due {
				_ = level.Info(f.log).Log("event", "TargetGone", "target", id, "version", page.Version, "lapsed", true)
				f.forget(id)
			}
		}
		return f.merged(page.Version, max(v.Read, asked)), true
	})
}

func (f *Fleets) put(t topo.Target) {
	old, known := f.listed[t.ID]
	switch {
	case !known:
		_ = level.Info(f.log).Log("event", "TargetListed", "target", t.ID, "service", t.Service, "address", t.Address,
			"dataCentre", t.DataCentre, "born", t.Born, "from", t.Held.From, "to", t.Held.To)
	case old.Born != t.Born, old.State != t.State, old.Held != t.Held, old.Address != t.Address:
		_ = level.Info(f.log).Log("event", "TargetChanged", "target", t.ID, "born", t.Born, "state", int(t.State),
			"from", t.Held.From, "to", t.Held.To)
	}
	f.listed[t.ID] = t
	delete(f.lapsed, t.ID)
}

// remove takes an entry off the list. During the grace after an outage it may
// still come back, and stays in use until then.
func (f *Fleets) remove(id string, now time.Duration) {
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
	f.forget(id)
}

func (f *Fleets) forget(id string) {
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
		case now > o.until, o.target.Born != t.Born:
			delete(f.overlays, id)
		default:
			t = t.WithHeld(o.target.Held)
			t.Sequence, t.Loading, t.Pace = o.target.Sequence, o.target.Loading, o.target.Pace
		}
		targets = append(targets, t)
	}
	return Fleet{Fleet: topo.NewFleet(version, targets), Read: read}
}
