package peers

import (
	"github.com/go-kit/log/level"

	"shallotcourse/internal/blame"
	"shallotcourse/internal/limit"
	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

// sendAll sends a gateway everything that alerts tell.
func (p *Peers) sendAll(to link.Peer) {
	prompts, limits := p.Prompts.FullReport(), p.Limits.Report(true, true)
	if !prompts.Empty() || len(limits) > 0 {
		p.send(to, wire.SuspicionAlert{Prompts: &prompts, Limits: limits})
	}
}

// reportPrompts sends the regular report on prompts.
func (p *Peers) reportPrompts() {
	if report := p.prompts.Report(p.Topology().Leads); !report.Empty() {
		p.publishPrompts(report)
	}
}

// publishPrompts sends a report on prompts to all linked gateways.
func (p *Peers) publishPrompts(report blame.Report) {
	p.Links.Broadcast(wire.SuspicionAlert{Prompts: &report}, nil)
}

// receivePrompts records a report of another gateway on prompts. A leader
// forwards at once what is new in it.
func (p *Peers) receivePrompts(from string, report *blame.Report) {
	if report == nil {
		return
	}
	fresh := p.Prompts.Merge(from, *report)
	if fresh.Empty() || !p.Topology().Leads {
		return
	}
	p.Links.Broadcast(wire.SuspicionAlert{Prompts: &fresh}, func(hello wire.Hello) bool { return hello.Instance != from })
}

// ownsHold reports whether this gateway is the one that tries a hold: the one
// whose name has the highest hash together with the key.
func (p *Peers) ownsHold(key string) bool {
	members, _ := p.Members.List()
	own := hash(p.Self.Instance + "\x00" + key)
	for _, m := range members {
		other := hash(m.Instance + "\x00" + key)
		if other > own || other == own && m.Instance > p.Self.Instance {
			return false
		}
	}
	return true
}

// reportLimits sends the regular report on what targets have said of themselves.
func (p *Peers) reportLimits() {
	p.Limits.NoteList(p.Fleets.Section().Value().Fleet)
	if limits := p.Limits.Report(p.Topology().Leads, false); len(limits) > 0 {
		p.publishLimits(limits)
	}
}

// publishLimits sends limits to all linked gateways.
func (p *Peers) publishLimits(limits []limit.TargetLimit) {
	p.Links.Broadcast(wire.SuspicionAlert{Limits: limits}, nil)
}

// receiveLimits records limits that other gateways were told. A leader forwards at
// once what is new.
func (p *Peers) receiveLimits(from string, limits []limit.TargetLimit) {
	fresh := p.Limits.Merge(limits)
	if len(fresh) == 0 {
		return
	}
	for _, l := range fresh {
		if l.Leaving {
			_ = level.Info(p.Log).Log("event", "TargetLeaves", "from", from, "target", l.Target, "born", l.Started, "age", l.Age, "seenBy", l.SeenBy)
			continue
		}
		_ = level.Info(p.Log).Log("event", "TargetLimit", "from", from, "target", l.Target, "born", l.Started, "named", !l.Ended, "limit", l.PerSecond,
			"age", l.Age, "seenBy", l.SeenBy)
	}
	if p.Topology().Leads {
		p.Links.Broadcast(wire.SuspicionAlert{Limits: fresh}, func(hello wire.Hello) bool { return hello.Instance != from })
	}
}
