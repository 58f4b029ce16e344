package peers

import (
	"shallotcourse/internal/blame"
	"shallotcourse/internal/wire"
)

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
