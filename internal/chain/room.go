package chain

import "shallotcourse/internal/topo"

// Room describes what the targets of one data centre can take beside their load.
type Room struct {
	// Ready is the number of targets that may be part of a chain.
	Ready int
	// Complete is true if they hold all layers.
	Complete bool
	// Free is the number of requests of usual size that the layers with least free
	// memory have room for.
	Free float64
}

// layerRoom is the sum over the targets that hold one layer.
type layerRoom struct {
	free    float64
	holders int
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

func roomOf(m *topo.Model, cs []*Candidate) Room {
	var out Room
	layers := make([]layerRoom, m.Layers)
	slots, bounded := 0, true
	for _, c := range cs {
		if !c.usable(m, Request{}) || c.PausedFor > 0 {
			continue
		}
		out.Ready++
		if c.holds(0) && !c.NotFirst {
			slots += max(0, c.Slots-c.Load.First)
			bounded = bounded && c.Slots > 0
		}
		free := c.freeRequests(m)
		for i := c.Held.From; i < c.Held.To; i++ {
			layers[i].holders++
			layers[i].free += free
		}
	}
	out.Complete = out.Ready > 0
	for i, l := range layers {
		if l.holders == 0 {
			out.Complete, out.Free = false, 0
			return out
		}
		if i == 0 || l.free < out.Free {
			out.Free = l.free
		}
	}
	if bounded {
		out.Free = min(out.Free, float64(slots))
	}
	return out
}

// freeRequests is the number of requests of usual size that the target has memory for.
func (c *Candidate) freeRequests(m *topo.Model) float64 {
	usual, held := float64(m.UsualPrompt+m.UsualAnswer), float64(c.Held.Len())
	if m.TokenMegabytes <= 0 || usual <= 0 {
		return 0
	}
	capacity := m.FreeMegabytes(c.Card, c.Held.Len()) / m.TokenMegabytes
	return max(0, MaxFill*capacity-c.Load.TokenLayers) / usual / held
}
