// Package peers lets gateways tell one another what they have in flight, which
// targets fail, and how fresh their configuration is.
package peers

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/follow"
	"shallotcourse/internal/ledger"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
	"shallotcourse/internal/wire"
)

const (
	// pulseEvery is the interval of Pulse. Work in flight lasts seconds, and a
	// failing target costs its streams a pause within tenths of one.
	pulseEvery = 200 * time.Millisecond
	// vouchFrom is the age of the configuration from which other gateways are
	// asked: two waits at the store and a little more. It leaves them a second
	// to answer before keys are refused.
	vouchFrom = 3300 * time.Millisecond
	// vouchTargetsFrom is the same for the list of targets.
	vouchTargetsFrom = 4500 * time.Millisecond
	// vouchPeers is how many gateways are asked at once.
	vouchPeers = 3
	// vouchLife bounds the wait for an answer.
	vouchLife = 2 * time.Second
)

type (
	// Options is what the exchange works with.
	Options struct {
		Links   *link.Group
		Clock   timer.Service
		Steady  follow.Clock
		Log     log.Logger
		Configs *follow.Configs
		Fleets  *follow.Fleets
		Ledger  *ledger.Ledger
		Repeats *limit.Repeats
	}

	// Peers exchanges messages with the other gateways. It is a link.Handler.
	Peers struct {
		Options

		mu sync.Mutex
		// asked holds the times of open questions by their echo.
		asked map[uint64]time.Duration
		echo  uint64
		// term is the lease that this gateway plans under, or 0.
		term uint64
		// targets are told with the next pulses.
		targets []topo.Target
		deaths  []ledger.Doubt
		// heard is the newest lease that another gateway plans under, and when
		// it said so last.
		heard   uint64
		heardAt time.Duration
		// late counts the late pauses of all gateways since it was last taken.
		late int
	}
)

// New returns an exchange; Run starts it.
func New(o Options) *Peers { return &Peers{Options: o, asked: map[uint64]time.Duration{}} }

// Run sends pulses and questions until the context ends.
func (p *Peers) Run(ctx context.Context) {
	ticks, cancel := p.Clock.Every(pulseEvery)
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			p.Links.Broadcast(p.pulse(), nil)
			p.ask()
		}
	}
}

// Plans sets the lease that this gateway plans under, what targets told it and
// which of them are dead.
func (p *Peers) Plans(term uint64, targets []topo.Target, deaths []ledger.Doubt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term, p.targets, p.deaths = term, targets, deaths
}

// TakeLate returns the number of late pauses of streams, at all gateways, since
// the last call.
func (p *Peers) TakeLate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.late
	p.late = 0
	return n
}

// Planner returns the newest lease that another gateway plans under and the
// time since it said so.
func (p *Peers) Planner() (term uint64, ago time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == 0 {
		return 0, time.Hour
	}
	return p.heard, p.Steady() - p.heardAt
}

func (p *Peers) pulse() wire.Pulse {
	out := wire.Pulse{Use: map[string]wire.Use{}}
	for id, u := range p.Ledger.Own() {
		out.Use[id] = wire.Use(u)
	}
	for _, d := range p.Ledger.Doubts() {
		out.Doubts = append(out.Doubts, wire.Doubt(d))
	}
	out.Repeats = map[string]wire.RepeatCount{}
	for service, c := range p.Repeats.Own() {
		out.Repeats[service] = wire.RepeatCount(c)
	}
	out.Late = p.Ledger.TakeLate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.late += out.Late
	out.Term, out.Targets = p.term, p.targets
	for _, d := range p.deaths {
		out.Dead = append(out.Dead, wire.Doubt(d))
	}
	return out
}

// ask sends a question to some gateways if the store does not answer.
func (p *Peers) ask() {
	configOld, fleetOld := p.Configs.Age() > vouchFrom, p.Fleets.Age() > vouchTargetsFrom
	if !configOld && !fleetOld {
		return
	}
	now := p.Steady()
	p.mu.Lock()
	for echo, at := range p.asked {
		if now-at > vouchLife {
			delete(p.asked, echo)
		}
	}
	p.echo++
	echo := p.echo
	p.asked[echo] = now
	p.mu.Unlock()
	links := p.Links.Peers()
	slices.SortFunc(links, func(a, b link.Peer) int { return strings.Compare(a.Hello().Instance, b.Hello().Instance) })
	question := wire.Vouch{Echo: echo, Version: p.Configs.Section().Value().Version, Targets: fleetOld}
	for i := range min(vouchPeers, len(links)) {
		// Questions go round, since some of the others may be cut off too.
		peer := links[(int(echo)+i)%len(links)]
		if err := peer.Send(question); err != nil {
			_ = level.Debug(p.Log).Log("event", "VouchNotSent", "instance", peer.Hello().Instance, "err", err)
		}
	}
}

// LinkUp implements link.Handler.
func (p *Peers) LinkUp(peer link.Peer) {
	_ = level.Info(p.Log).Log("event", "PeerUp", "peer", peer.Hello().Instance, "incarnation", peer.Hello().Incarnation)
}

// LinkDown implements link.Handler.
func (p *Peers) LinkDown(peer link.Peer, reason error) {
	_ = level.Info(p.Log).Log("event", "PeerDown", "peer", peer.Hello().Instance, "err", reason)
}

// Receive implements link.Handler.
func (p *Peers) Receive(peer link.Peer, m wire.Message) {
	switch m := m.(type) {
	case wire.Pulse:
		p.hear(peer.Hello(), m)
	case wire.Vouch:
		if err := peer.Send(p.answer(m)); err != nil {
			_ = level.Debug(p.Log).Log("event", "VouchNotAnswered", "peer", peer.Hello().Instance, "err", err)
		}
	case wire.Vouched:
		p.vouched(peer.Hello().Instance, m)
	}
}

func (p *Peers) hear(from wire.Hello, m wire.Pulse) {
	use := make(map[string]ledger.Use, len(m.Use))
	for id, u := range m.Use {
		use[id] = ledger.Use(u)
	}
	p.Ledger.Hear(from.Instance, use)
	counts := make(map[string]limit.RepeatCount, len(m.Repeats))
	for service, c := range m.Repeats {
		counts[service] = limit.RepeatCount(c)
	}
	p.Repeats.Hear(from.Incarnation, counts)
	p.mu.Lock()
	p.late += m.Late
	p.mu.Unlock()
	for _, d := range m.Doubts {
		if p.Ledger.HearDoubt(ledger.Doubt(d)) {
			_ = level.Info(p.Log).Log("event", "TargetDoubted", "target", d.ID, "from", from.Instance, "left", d.Left)
		}
	}
	for _, t := range m.Targets {
		p.Fleets.Overlay(t)
	}
	if m.Term == 0 {
		return
	}
	dead := make([]ledger.Doubt, len(m.Dead))
	for i, d := range m.Dead {
		dead[i] = ledger.Doubt(d)
	}
	p.Ledger.HearDead(dead)
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Term >= p.heard {
		p.heard, p.heardAt = m.Term, p.Steady()
	}
}

func (p *Peers) answer(m wire.Vouch) wire.Vouched {
	config := p.Configs.Section().Value()
	out := wire.Vouched{Echo: m.Echo, Version: config.Version, Age: p.Configs.Age(), TargetsAge: -1}
	if config.Version > m.Version {
		out.Raw = config.Raw
	}
	if m.Targets {
		fleet := p.Fleets.Section().Value()
		out.TargetsAge, out.TargetsVersion, out.Targets = p.Fleets.Age(), fleet.Version, fleet.All()
	}
	return out
}

// vouched takes an answer over. What it says was true its age before the
// answer, so at least that long before the question plus the way back.
func (p *Peers) vouched(instance string, m wire.Vouched) {
	p.mu.Lock()
	at, known := p.asked[m.Echo]
	p.mu.Unlock()
	if !known {
		return
	}
	if m.Version > 0 {
		p.Configs.Vouched(m.Version, m.Raw, at-m.Age, instance)
	}
	if m.TargetsAge >= 0 && len(m.Targets) > 0 {
		p.Fleets.Vouched(m.TargetsVersion, m.Targets, at-m.TargetsAge, instance)
	}
}
