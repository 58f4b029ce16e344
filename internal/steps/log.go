package steps

import "slices"

type (
	// outputLog is the bounded log of the outputs of a session, kept so that
	// they can be sent again. It covers the positions [from, end()): the data
	// for the next stage or, at the last stage, only the sampled tokens.
	outputLog struct {
		from  int
		count int
		// blockSize is the number of bytes of data per position; 0 before the
		// first data.
		blockSize int
		// data is never overwritten, since messages that are still to be sent
		// share its memory.
		data []byte
		// tokens were sampled from successive positions, the last one from
		// position end()-1.
		tokens     []Sampled
		limitBytes int
	}
)

// tokenLogBytes is the number of bytes that a token counts against the limit.
const tokenLogBytes = 16

func (o *outputLog) end() int { return o.from + o.count }

func (o *outputLog) reset(from int) { *o = outputLog{from: from, limitBytes: o.limitBytes} }

// truncate drops position p and all later ones.
func (o *outputLog) truncate(p int) {
	if p <= o.from {
		o.reset(p)
		return
	}
	if p >= o.end() {
		return
	}
	o.count = p - o.from
	o.data = slices.Clip(o.data[:min(len(o.data), o.count*o.blockSize)])
	o.tokens = slices.DeleteFunc(o.tokens, func(t Sampled) bool { return t.Position > p })
}

// add appends a result, which must start at the end of the log. It returns
// false if the data per position has another size than before, or if the
// tokens have gaps.
func (o *outputLog) add(r Result, last bool) bool {
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
	if o.blockSize == 0 {
		o.blockSize = block
	}
	o.data = append(o.data, r.Data...)
	return o.blockSize == block && block > 0
}

// trim drops the oldest positions until the log is within its limit, but always
// keeps the newest one.
func (o *outputLog) trim() {
	if o.blockSize > 0 {
		if drop := o.count - max(1, o.limitBytes/o.blockSize); drop > 0 {
			o.data = o.data[drop*o.blockSize:]
			o.from, o.count = o.from+drop, o.count-drop
		}
		return
	}
	if drop := len(o.tokens) - max(1, o.limitBytes/tokenLogBytes); drop > 0 {
		o.tokens = o.tokens[drop:]
		from := o.tokens[0].Position - 1
		o.count -= from - o.from
		o.from = from
	}
}

// dataRange returns the data of positions [from, to), which the log must cover.
func (o *outputLog) dataRange(from, to int) []byte {
	from, to = (from-o.from)*o.blockSize, (to-o.from)*o.blockSize
	return o.data[from:to:to]
}

// tokenRange returns those tokens in the log that were sampled from positions
// [from, to).
func (o *outputLog) tokenRange(from, to int) []Sampled {
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
