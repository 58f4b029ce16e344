package peers

import (
	"context"
	"time"

	"shallotcourse/internal/timer"
)

const (
	// maxStartWait bounds how long a gateway that starts waits for others before
	// it takes its configuration from the store.
	maxStartWait = time.Second
	// startWaitInterval is the interval between two checks during that time.
	startWaitInterval = 20 * time.Millisecond
	// maxStartDial is how long after its start a gateway dials those that would
	// dial it. They read of it within readInterval.
	maxStartDial = readInterval + time.Second
)

// AwaitConfig returns when another gateway has told which configuration it has, and
// this one has it as well; when no other gateway has one; when the store names no era; or
// after maxStartWait.
func (p *Peers) AwaitConfig(ctx context.Context) {
	for p.BootClock()-p.startedAt < maxStartWait && ctx.Err() == nil {
		others, version := p.Members.List()
		if version != 0 && p.Members.source.Era() == 0 {
			// A store without eras does not come back from an older copy.
			return
		}
		links := p.links()
		own, started := p.Configs.Section().Value().Version, 0
		for _, l := range links {
			switch revision := l.Hello().Revision; {
			case revision == 0:
				started++
			case revision <= own:
				return
			}
		}
		if version != 0 && started == len(others) {
			return
		}
		_ = timer.Sleep(ctx, p.Clock, startWaitInterval)
	}
}

// updateStartDials dials the other gateways of a full mesh after the start, also
// those that are to dial this one, as they do not know of it yet. The link is kept
// until the other gateway has dialled, which may not be able to read the store. The
// caller holds mu.
func (p *Peers) updateStartDials(now time.Duration, members []Member) {
	listed, links := map[string]Member{}, map[string]int{}
	for _, m := range members {
		listed[m.Instance] = m
	}
	for _, l := range p.Links.Peers() {
		links[l.Hello().Instance]++
	}
	for instance, m := range p.startDials {
		if !p.topology.Mesh || listed[instance] != m || links[instance] > 1 {
			p.Links.Unwant(m.Address)
			delete(p.startDials, instance)
		}
	}
	if !p.topology.Mesh || now-p.startedAt > maxStartDial {
		return
	}
	for instance, m := range listed {
		if _, ok := p.startDials[instance]; !ok && links[instance] == 0 && instance < p.Self.Instance {
			p.startDials[instance] = m
			p.Links.Want(m.Address)
		}
	}
}
