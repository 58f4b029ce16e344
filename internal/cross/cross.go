// Package cross decides which share of the new requests of a data centre is sent to
// which data centre, and why. It needs no network: the same inputs in the same order
// always give the same shares, so the gateways of a data centre that know the same loads
// decide alike.
package cross

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trips is the number of times that a request pays the delay to another data centre until
// its first token: two to open a connection, one for the request and one for the token.
const Trips = 4

// The reasons of shares.
const (
	// HomeHasRoom is the reason of the home data centre while it has room for all
	// of its requests, and of the others then.
	HomeHasRoom Reason = "HomeHasRoom"
	// HomeFull, HomeWaits and HomeLacksLayers say what sends requests away: the
	// memory of the home data centre, its queue of prompts, or layers that it lacks.
	HomeFull        Reason = "HomeFull"
	HomeWaits       Reason = "HomeWaits"
	HomeLacksLayers Reason = "HomeLacksLayers"
	// The others say why a data centre gets nothing, or not more.
	NoTargets  Reason = "NoTargets"
	OldFigures Reason = "OldFigures"
	NoRoom     Reason = "NoRoom"
	NoGain     Reason = "NoGain"
	PipeFull   Reason = "PipeFull"
)

type (
	// Reason is why a data centre has its share.
	Reason string

	// Figures describes what the targets of one data centre can take.
	Figures struct {
		Name string
		// Ready is the number of targets that take requests.
		Ready int
		// Complete is true if these targets hold all layers.
		Complete bool
		// InFlight and Free count requests of usual size: those that the targets
		// hold, and those that their memory has room for beside them.
		InFlight, Free float64
		// Wait is the time that the prompts queued at the targets take, and Read the
		// time of one more prompt.
		Wait, Read time.Duration
		// Token is the time of a token of an answer.
		Token time.Duration
		// Age is the age of the loads behind these figures.
		Age time.Duration
	}

	// Input is what a decision for one service depends on.
	Input struct {
		At time.Time
		// Home is the data centre whose new requests are shared out.
		Home string
		// DataCentres contains the home data centre, in any order.
		DataCentres []Figures
		// Delays holds the delay from the home data centre to each other one: that of
		// the configuration, or the one measured if it is longer.
		Delays map[string]time.Duration
		// Arrivals is the number of new requests per second of the home data centre,
		// also of those that find no room; 0 if unknown.
		Arrivals float64
		// RequestBytes is the number of bytes of a request and its answer that
		// cross, and PipeBytes what all transfers between data centres may have per
		// second; 0 is no bound.
		RequestBytes, PipeBytes float64
		// AnswerTokens is the usual length of an answer.
		AnswerTokens int
		// MaxWait is the queue of prompts from which targets get no more requests.
		MaxWait time.Duration
		// Refusal is the cost of a request that finds no room.
		Refusal time.Duration
	}

	// Share is the part of the new requests that one data centre gets.
	Share struct {
		DataCentre string
		// Part is between 0 and 1; the parts of a decision add up to 1.
		Part   float64
		Reason Reason
	}

	// Decision holds the shares, that of the home data centre first. It is empty if
	// there is no other data centre to send to.
	Decision struct {
		Shares []Share
		// Confined is true if no request may cross beyond the shares, also if the
		// home data centre has no room for it: the pipe could not carry it in time.
		Confined bool
	}
)

// Pick returns the data centre that a request goes to, by a hash of its ID: all
// gateways with the same shares pick the same for it. It returns "" if there are no
// shares.
func Pick(shares []Share, request string) string {
	if len(shares) == 0 {
		return ""
	}
	// The prefix keeps the hash apart from the one that picks the service.
	point := float64(xxhash.Sum64String("cross/"+request)>>11) / (1 << 53)
	for _, s := range shares {
		if point -= s.Part; point < 0 {
			return s.DataCentre
		}
	}
	return shares[0].DataCentre
}

// Reason returns the reason of a data centre's share, or "" if it has none.
func (d Decision) Reason(dataCentre string) Reason {
	for _, s := range d.Shares {
		if s.DataCentre == dataCentre {
			return s.Reason
		}
	}
	return ""
}

// home returns the figures of the home data centre, and others those of the rest in the
// order of their names.
func (in Input) home() Figures {
	for _, f := range in.DataCentres {
		if f.Name == in.Home {
			return f
		}
	}
	return Figures{Name: in.Home}
}

func (in Input) others() []Figures {
	out := slices.DeleteFunc(slices.Clone(in.DataCentres), func(f Figures) bool { return f.Name == in.Home })
	slices.SortFunc(out, func(a, b Figures) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// serves reports whether the data centre can run whole requests.
func (f Figures) serves() bool { return f.Ready > 0 && f.Complete }

// length is the usual time from the arrival to the end of a request.
func (f Figures) length(answerTokens int) time.Duration {
	return max(minLength, f.Wait+f.Read+time.Duration(answerTokens)*f.Token)
}
