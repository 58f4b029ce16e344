package chain

import (
	"time"

	"shallotcourse/internal/topo"
)

// Room describes what the targets of one data centre can take beside their load.
type Room struct {
	// Ready is the number of targets that may be part of a chain.
	Ready int
	// Complete is true if they hold all layers.
	Complete bool
	// InFlight and Free count requests of usual size: those in the targets' memory,
	// and those that the layers with least free memory have room for.
	InFlight, Free float64
	// Wait is the time that the prompts queued at the targets take, at the layer where
	// that is longest; Read is the time of one more prompt of usual length, and Token
	// that of a token, through all layers. They are means over the targets that hold
	// a layer.
	Wait, Read, Token time.Duration
}

// Rooms returns the room in each data centre of the candidates.
func Rooms(m *topo.Model, candidates []Candidate) map[string]Room {
	byDC := map[string][]*Candidate{}
	for i := range candidates {
		c := &candidates[i]
		byDC[c.DataCentre] = append(byDC[c.DataCentre], c)
	}
	out := make(map[string]Room, len(byDC))
	for dc, cs := range byDC {
		out[dc] = roomOf(m, cs)
	}
	return out
}

// layerRoom is the sum over the targets that hold one layer.
type layerRoom struct {
	free, wait, read, token float64
	holders                 int
}

func roomOf(m *topo.Model, cs []*Candidate) Room {
	var out Room
	layers := make([]layerRoom, m.Layers)
	usual := float64(m.UsualPrompt + m.UsualAnswer)
	slots, bounded := 0, true
	for _, c := range cs {
		if usual > 0 && m.Layers > 0 {
			out.InFlight += c.Load.TokenLayers / usual / float64(m.Layers)
		}
		if !c.usable(m, Request{}) || c.PausedFor > 0 {
			continue
		}
		out.Ready++
		if c.holds(0) && !c.NotFirst {
			slots += max(0, c.Slots-c.Load.First)
			bounded = bounded && c.Slots > 0
		}
		c.addRoom(m, usual, layers)
	}
	out.Complete = out.Ready > 0
	for i, l := range layers {
		if l.holders == 0 {
			out.Complete, out.Free = false, 0
			return out
		}
		n := float64(l.holders)
		if i == 0 || l.free < out.Free {
			out.Free = l.free
		}
		out.Wait = max(out.Wait, time.Duration(l.wait/n))
		out.Read += time.Duration(l.read / n)
		out.Token += time.Duration(l.token / n)
	}
	if bounded {
		out.Free = min(out.Free, float64(slots))
	}
	return out
}

// addRoom adds a target's terms to the layers that it holds.
func (c *Candidate) addRoom(m *topo.Model, usual float64, layers []layerRoom) {
	held := float64(c.Held.Len())
	stage := Stage{Card: c.Card, Layers: c.Held.Len(), SlowFactor: c.SlowFactor}
	readToken := float64(stage.ReadToken(m, float64(c.Load.Running)*held/float64(m.Layers)))
	free := 0.0
	if m.TokenMegabytes > 0 && usual > 0 {
		capacity := m.FreeMegabytes(c.Card, c.Held.Len()) / m.TokenMegabytes
		free = max(0, MaxFill*capacity-c.Load.TokenLayers) / usual / held
	}
	token := layerTime(m, c)
	for i := c.Held.From; i < c.Held.To; i++ {
		l := &layers[i]
		l.holders++
		l.free += free
		l.wait += float64(c.Load.Unread) * readToken
		l.read += readToken / held * float64(m.UsualPrompt)
		l.token += token
	}
}
