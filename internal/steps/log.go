package steps

type (
	// outputs is the bounded log of what a session produced. It holds the
	// positions [from, end()).
	outputs struct {
		from    int
		entries []output
		// bytes is the size of all entries; at most limit after trim,
		// unless a single entry is larger.
		bytes int
		limit int
	}

	output struct {
		data []byte
		// token follows from the output; meaningful if sampled.
		token   Sampled
		sampled bool
	}
)

// entryBytes is charged for each entry beside its data.
const entryBytes = 64

func (o *outputs) end() int { return o.from + len(o.entries) }

func (o *outputs) reset(from int) { *o = outputs{from: from, limit: o.limit} }

// truncate drops positions from p on.
func (o *outputs) truncate(p int) {
	if p <= o.from {
		o.reset(p)
		return
	}
	for len(o.entries) > 0 && o.end() > p {
		o.bytes -= size(o.entries[len(o.entries)-1])
		o.entries = o.entries[:len(o.entries)-1]
	}
}

// add appends the entries of a result, which starts at the end of the log.
func (o *outputs) add(r Result) {
	block := len(r.Data) / max(r.Count, 1)
	tokens := r.Tokens
	for i := range r.Count {
		e := output{data: r.Data[i*block : (i+1)*block : (i+1)*block]}
		if len(tokens) > 0 && tokens[0].Position == r.Position+i+1 {
			e.token, e.sampled = tokens[0], true
			tokens = tokens[1:]
		}
		o.entries = append(o.entries, e)
		o.bytes += size(e)
	}
}

// trim drops the oldest entries over the limit, but never the newest one.
func (o *outputs) trim() {
	drop := 0
	for o.bytes > o.limit && drop < len(o.entries)-1 {
		o.bytes -= size(o.entries[drop])
		drop++
	}
	if drop > 0 {
		o.from += drop
		// Copying lets the dropped data be freed.
		o.entries = append([]output(nil), o.entries[drop:]...)
	}
}

// data joins the outputs of positions [from, to), which the log must hold. A
// single output, as in each decode step, is not copied.
func (o *outputs) data(from, to int) []byte {
	if to-from == 1 {
		return o.entries[from-o.from].data
	}
	var b []byte
	for _, e := range o.entries[from-o.from : to-o.from] {
		b = append(b, e.data...)
	}
	return b
}

func size(e output) int { return len(e.data) + entryBytes }
