package cross

import (
	"math"
	"time"
)

const (
	// homeFill is the share of its memory for requests that the home data centre
	// fills before it sends any away. Targets refuse from 0.92 on, and figures are
	// up to half a second old.
	homeFill = 0.8
	// remembered is the part of the requests sent away that counts as demand of the
	// home data centre. The rest makes it fill somewhat beyond homeFill.
	remembered = 0.85
	// sentShare is the share of the free capacity elsewhere that all senders
	// together may take; the rest is for the callers there.
	sentShare = 0.5
	// pipeShare is the share of the pipe that requests and answers may take, the
	// rest is for loads and for hops within chains.
	pipeShare = 0.8
	// maxChange bounds the change of the shares, in parts of all new requests per
	// second, so that the loads follow before the next change.
	maxChange = 0.25
	// startGain is the gain from which a data centre gets requests, until its gain is
	// below endShare of that. Measured delays vary by several milliseconds.
	startGain = 30 * time.Millisecond
	endShare  = 0.5
	// waitShare is the share of Input.MaxWait that prompts may queue at home, and
	// waitStep bounds the correction for longer and shorter queues, in parts of the
	// requests in flight. The queue follows the shares within the age of the figures,
	// so larger corrections would oscillate.
	waitShare = 0.3
	waitStep  = 0.1
	// smoothing is the time constant of the mean over the figures, which arrive every
	// 100 to 200 ms.
	smoothing = time.Second
	// figureLag is the usual age of the loads of other gateways.
	figureLag = 500 * time.Millisecond
	// maxAge is the age from which the figures of a data centre count as old: several
	// reports of loads were lost.
	maxAge = 1500 * time.Millisecond
	// minPart is the smallest part that is sent.
	minPart = 0.01
	// minLength bounds the estimated length of a request from below.
	minLength = 200 * time.Millisecond
)

type (
	// Decider keeps what the shares of one service and home data centre depend on
	// beside the figures. It is not safe for concurrent use.
	Decider struct {
		at    time.Time
		sites map[string]*site
	}

	// site is the state of one data centre.
	site struct {
		// figures and delay are smoothed.
		figures Figures
		delay   time.Duration
		// part is the current share, 0 for the home data centre.
		part float64
		// sent estimates the requests in flight that were sent there, and seen is
		// the part of it that the smoothed figures show already.
		sent, seen float64
		// active is true from a gain of startGain on until it falls below its end.
		active bool
		reason Reason
		// want is the part to approach, and limit the largest allowed one.
		want, limit float64
	}

	// pressure is what the home data centre cannot serve.
	pressure struct {
		// demand is the number of requests in flight of the home's callers, and
		// excess those among them that are to be elsewhere.
		demand, excess float64
		// refused is the part of the requests in excess that would find no room.
		refused float64
		reason  Reason
	}
)

// New returns a decider that starts with all requests at home.
func New() *Decider { return &Decider{sites: map[string]*site{}} }

// Shares returns the shares for the new requests from now on. Calls must be in the order
// of time; several per second are enough.
func (d *Decider) Shares(in Input) Decision {
	others := in.others()
	if len(others) == 0 {
		return Decision{}
	}
	elapsed := min(time.Second, max(0, in.At.Sub(d.at)))
	if d.at.IsZero() {
		elapsed = 0
	}
	d.at = in.At
	home := d.site(in.home(), 0, elapsed)
	sites := make([]*site, len(others))
	for i, f := range others {
		sites[i] = d.site(f, in.Delays[f.Name], elapsed)
	}
	p := pressureOf(in, home, sites)
	for i, s := range sites {
		judge(in, home, s, others[i], p)
	}
	part := partOfDemand(p, home, sites)
	distribute(in, p, part, home, sites)
	approach(sites, maxChange*elapsed.Seconds(), p.reason == HomeLacksLayers)
	out := decision(in.Home, p, sites, boundByPipe(in, p, part, home, sites))
	for _, s := range sites {
		s.follow(in, p.demand, elapsed)
	}
	return out
}

// site returns the state of a data centre with its figures updated.
func (d *Decider) site(f Figures, delay, elapsed time.Duration) *site {
	s := d.sites[f.Name]
	if s == nil {
		s = &site{figures: f, delay: delay}
		d.sites[f.Name] = s
	}
	w := weight(elapsed, smoothing)
	old := s.figures
	s.figures = f
	s.figures.InFlight = blend(old.InFlight, f.InFlight, w)
	s.figures.Free = blend(old.Free, f.Free, w)
	s.figures.Wait = time.Duration(blend(float64(old.Wait), float64(f.Wait), w))
	s.figures.Read = time.Duration(blend(float64(old.Read), float64(f.Read), w))
	s.delay = time.Duration(blend(float64(s.delay), float64(delay), w))
	s.figures.Token = time.Duration(blend(float64(old.Token), float64(f.Token), w))
	return s
}

// pressureOf returns the demand of the home data centre and what exceeds its room. What
// was sent away counts as demand, so steady demand gives steady shares. A part of it does
// not count, so that gateways with other histories come to the same shares.
func pressureOf(in Input, home *site, sites []*site) pressure {
	h := home.figures
	p := pressure{demand: h.InFlight, reason: HomeHasRoom}
	for _, s := range sites {
		p.demand += remembered * s.seen
	}
	if !h.serves() {
		p.excess, p.reason = p.demand, HomeLacksLayers
		return p
	}
	room, cause := homeFill*(h.InFlight+h.Free), HomeFull
	p.refused = max(0, min(1, (p.demand-room)/max(1, h.InFlight+h.Free-room)))
	if limit := waitShare * float64(in.MaxWait); limit > 0 {
		correction := waitStep * max(-1, min(1, 1-float64(h.Wait)/limit))
		if byWait := h.InFlight * (1 + correction); byWait < room {
			room, cause = byWait, HomeWaits
		}
	}
	if p.excess = max(0, p.demand-room); p.excess > 0 {
		p.reason = cause
	}
	return p
}

// judge decides whether a data centre gets requests at all. now holds its figures before
// smoothing.
func judge(in Input, home, s *site, now Figures, p pressure) {
	s.reason = p.reason
	switch {
	case !now.serves():
		s.active, s.reason = false, NoTargets
	case now.Age > maxAge:
		s.active, s.reason = false, OldFigures
	case p.excess <= 0 && p.reason != HomeLacksLayers:
		s.active = false
	default:
		threshold := startGain
		if s.active {
			threshold = time.Duration(endShare * float64(startGain))
		}
		if s.active = p.reason == HomeLacksLayers || gain(in, home.figures, s, p) > threshold; !s.active {
			s.reason = NoGain
		}
	}
}

// gain is the time that a request saves elsewhere: the queue at home and the refusals
// there, less the cost of crossing, and what the targets there are slower.
func gain(in Input, h Figures, s *site, p pressure) time.Duration {
	f := s.figures
	avoided := time.Duration(p.refused*float64(in.Refusal)) + h.Wait
	return avoided - f.Wait - s.crossCost(in) + h.Read - f.Read + h.Token - f.Token
}

// crossCost is the time that the delays of a request to the data centre and its bytes take.
func (s *site) crossCost(in Input) time.Duration {
	cost := Trips * s.delay
	if in.PipeBytes > 0 {
		cost += time.Duration(in.RequestBytes / in.PipeBytes * float64(time.Second))
	}
	return cost
}

// partOfDemand is the part that the callers of the home data centre have of the demand
// of all data centres.
func partOfDemand(p pressure, home *site, sites []*site) float64 {
	total := home.figures.InFlight
	for _, s := range sites {
		total += s.figures.InFlight
	}
	if total <= 0 {
		return 1
	}
	return min(1, p.demand/total)
}

// distribute sets the part that each data centre is to get: the excess in proportion to
// what may be sent there.
func distribute(in Input, p pressure, part float64, home *site, sites []*site) {
	sum := 0.0
	if p.reason == HomeLacksLayers {
		// None can stay, so the limits only give the proportions.
		part = 1
	}
	for _, s := range sites {
		s.want, s.limit = 0, 0
		if s.active {
			s.limit = sentShare * part * (s.usableFree(in) + s.seen)
			sum += s.limit
		}
	}
	for _, s := range sites {
		switch {
		case !s.active || sum <= 0:
		case p.reason == HomeLacksLayers:
			s.want = s.limit / sum
		case p.demand > 0:
			s.want = s.limit * min(1, p.excess/sum) / p.demand
		}
		if s.active && s.want < minPart {
			s.want = 0
			if s.limit < minPart*p.demand {
				s.reason = NoRoom
			}
		}
	}
}

// usableFree is the free capacity, less the longer its prompts queue.
func (s *site) usableFree(in Input) float64 {
	if in.MaxWait <= 0 {
		return s.figures.Free
	}
	return s.figures.Free * max(0, 1-float64(s.figures.Wait)/float64(in.MaxWait))
}

// approach moves the parts towards those wanted. All increases together, and all
// decreases, are at most change, except that a data centre which takes nothing more loses
// its part at once, and that none can stay where layers are lacking.
func approach(sites []*site, change float64, atOnce bool) {
	up, down := 0.0, 0.0
	for _, s := range sites {
		if s.reason == NoTargets || s.reason == OldFigures || atOnce {
			s.part = s.want
		}
		up += max(0, s.want-s.part)
		down += max(0, s.part-s.want)
	}
	for _, s := range sites {
		switch {
		case s.want > s.part:
			s.part += (s.want - s.part) * min(1, change/up)
		case s.want < s.part:
			s.part -= (s.part - s.want) * min(1, change/down)
		}
	}
}

// boundByPipe reduces the parts so that what crosses stays below the part of the pipe
// that the demand of the home data centre has of all. It reports whether requests must
// not cross beyond the parts: all of them would not fit the pipe, or to cross costs more
// than a refusal.
func boundByPipe(in Input, p pressure, part float64, home *site, sites []*site) (confined bool) {
	if p.reason == HomeLacksLayers {
		return false
	}
	confined = in.Refusal > 0
	sum := 0.0
	for _, s := range sites {
		sum += s.part
		confined = confined && s.crossCost(in) > in.Refusal
	}
	if in.PipeBytes <= 0 || in.RequestBytes <= 0 {
		return confined
	}
	perSecond := max(in.Arrivals, p.demand/home.figures.length(in.AnswerTokens).Seconds())
	allowed := pipeShare * part * in.PipeBytes / in.RequestBytes
	for _, s := range sites {
		if s.part > 0 && sum*perSecond > allowed {
			s.part, s.reason = s.part*allowed/(sum*perSecond), PipeFull
		}
	}
	return confined || perSecond > allowed
}

// follow updates the estimate of the requests that were sent to a data centre.
func (s *site) follow(in Input, demand float64, elapsed time.Duration) {
	s.sent = blend(s.sent, s.part*demand, weight(elapsed, s.figures.length(in.AnswerTokens)))
	s.seen = blend(s.seen, s.sent, weight(elapsed, smoothing+figureLag))
}

func decision(home string, p pressure, sites []*site, confined bool) Decision {
	out := Decision{Confined: confined, Shares: []Share{{DataCentre: home, Part: 1, Reason: p.reason}}}
	for _, s := range sites {
		out.Shares[0].Part -= s.part
		out.Shares = append(out.Shares, Share{DataCentre: s.figures.Name, Part: s.part, Reason: s.reason})
	}
	out.Shares[0].Part = max(0, out.Shares[0].Part)
	return out
}

// weight is the weight of a new value in a mean with the time constant.
func weight(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

func blend(old, next, w float64) float64 { return old + w*(next-old) }
