package steps

import "slices"

type (
	// outputs is the bounded log of what a session produced. It holds the
	// positions [from, end()): the data that goes to the next stage or, at the
	// last stage, the tokens only.
	outputs struct {
		from  int
		count int
		// block is the size of one position's data; 0 if none was added.
		block int
		// data is never overwritten, since messages under way share it.
		data []byte
		// tokens follow from successive outputs, the last one from end()-1.
		tokens []Sampled
		limit  int
	}
)

// tokenSize is charged for a token against the limit.
const tokenSize = 16

func (o *outputs) end() int { return o.from + o.count }

func (o *outputs) reset(from int) { *o = outputs{from: from, limit: o.limit} }

// truncate drops positions from p on.
func (o *outputs) truncate(p int) {
	if p <= o.from {
		o.reset(p)
		return
	}
	if p >= o.end() {
		return
	}
	o.count = p - o.from
	o.data = slices.Clip(o.data[:min(len(o.data), o.count*o.block)])
	o.tokens = slices.DeleteFunc(o.tokens, func(t Sampled) bool { return t.Position > p })
}

// add appends a result, which starts at the end of the log; false if its data
// has another size than before, or if its tokens have gaps.
func (o *outputs) add(r Result, last bool) bool {
	o.count += r.Count
	if last {
		for i, t := range r.Tokens {
			if t.Position != o.end()-len(r.Tokens)+i+1 {
				return false
			}
		}
		o.tokens = append(o.tokens, r.Tokens...)
		return true
	}
	block := len(r.Data) / r.Count
	if o.block == 0 {
		o.block = block
	}
	o.data = append(o.data, r.Data...)
	return o.block == block && block > 0
}

// trim drops the oldest positions over the limit, but never the newest one.
func (o *outputs) trim() {
	if o.block > 0 {
		if drop := o.count - max(1, o.limit/o.block); drop > 0 {
			o.data = o.data[drop*o.block:]
			o.from, o.count = o.from+drop, o.count-drop
		}
		return
	}
	if drop := len(o.tokens) - max(1, o.limit/tokenSize); drop > 0 {
		o.tokens = o.tokens[drop:]
		from := o.tokens[0].Position - 1
		o.count -= from - o.from
		o.from = from
	}
}

// slice returns the data of positions [from, to), which the log must hold.
func (o *outputs) slice(from, to int) []byte {
	from, to = (from-o.from)*o.block, (to-o.from)*o.block
	return o.data[from:to:to]
}

// sampled returns the tokens that follow from the outputs [from, to).
func (o *outputs) sampled(from, to int) []Sampled {
	if len(o.tokens) == 0 {
		return nil
	}
	first := o.tokens[0].Position - 1
	from, to = max(from-first, 0), min(to-first, len(o.tokens))
	if from >= to {
		return nil
	}
	return o.tokens[from:to]
}
