package fplat

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
)

func (p *Platform) readRow(r *http.Request) (any, error) {
	key := r.URL.Query().Get("Key")
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[key]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "row %q does not exist", key)
	}
	return row, nil
}

func (p *Platform) listRows(r *http.Request) (any, error) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit < 1 || limit > maxListRows {
		return nil, fault.Invalid("Limit", q.Get("Limit"), "1 to 1000")
	}
	prefix, after := q.Get("Prefix"), q.Get("After")
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []plat.Row{}
	first, found := slices.BinarySearch(p.keys, max(prefix, after))
	if found && p.keys[first] == after {
		first++
	}
	for _, key := range p.keys[first:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		rows = append(rows, p.rows[key])
	}
	return rows, nil
}

func (p *Platform) commit(r *http.Request) (any, error) {
	var t plat.Txn
	if err := readJSON(r, &t); err != nil {
		return nil, err
	}
	if len(t.Writes) > maxTxnWrites {
		return nil, fault.Newf(fault.TooLarge, "transaction has %d writes; allowed: %d", len(t.Writes), maxTxnWrites)
	}
	for _, w := range t.Writes {
		if len(w.Value) > maxRowBytes {
			return nil, fault.Newf(fault.TooLarge, "row %q has %d bytes; allowed: %d", w.Key, len(w.Value), maxRowBytes)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range t.Conditions {
		if p.rows[c.Key].Version != c.Version {
			p.counts.Conflicts++
			return nil, fault.Newf(fault.Conflict, "row %q has version %d, not %d", c.Key, p.rows[c.Key].Version, c.Version)
		}
	}
	p.lastVersion++
	for _, w := range t.Writes {
		p.write(w)
	}
	return struct{ Version uint64 }{p.lastVersion}, nil
}

func (p *Platform) write(w plat.Write) {
	at, found := slices.BinarySearch(p.keys, w.Key)
	switch {
	case w.Delete:
		delete(p.rows, w.Key)
		if found {
			p.keys = slices.Delete(p.keys, at, at+1)
		}
		return
	case !found:
		p.keys = slices.Insert(p.keys, at, w.Key)
	}
	p.rows[w.Key] = plat.Row{Key: w.Key, Version: p.lastVersion, Value: w.Value}
}

func (p *Platform) getObject(r *http.Request) (any, error) {
	name := r.URL.Query().Get("Name")
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.objects[name]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "object %q does not exist", name)
	}
	return data, nil
}

func (p *Platform) putObject(r *http.Request) (any, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fault.New(fault.Internal, "request body was cut off").WithCause(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.URL.Query().Get("Name")] = data
	return struct{}{}, nil
}

func (p *Platform) reserve(r *http.Request) (any, error) {
	var body struct {
		Name  string
		Bytes int64
	}
	if err := readJSON(r, &body); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait, ok := p.weights.Take(p.clock.Now(), body.Bytes); !ok {
		return nil, fault.New(fault.Overloaded, "bandwidth of the weight store exceeded").WithRetryAfter(wait)
	}
	p.counts.WeightBytes += body.Bytes
	return struct{}{}, nil
}

// listInstances returns the instance list as it was ListLag ago.
func (p *Platform) listInstances(*http.Request) (any, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.ListReads++
	at := p.clock.Now().Add(-time.Duration(p.faults.ListLag))
	for _, d := range slices.Backward(p.lists) {
		if !d.since.After(at) {
			return d.list, nil
		}
	}
	return []plat.Instance{}, nil
}

// SetInstance adds or replaces an instance in the current list.
func (p *Platform) SetInstance(i plat.Instance) {
	p.changeList(i.Name, func(list []plat.Instance) []plat.Instance { return append(list, i) })
}

// RemoveInstance removes an instance from the current list.
func (p *Platform) RemoveInstance(name string) {
	p.changeList(name, func(list []plat.Instance) []plat.Instance { return list })
}

// changeList adds a version of the instance list: the last one without the named
// instance, passed through change.
func (p *Platform) changeList(name string, change func([]plat.Instance) []plat.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []plat.Instance{}
	if len(p.lists) > 0 {
		for _, i := range p.lists[len(p.lists)-1].list {
			if i.Name != name {
				list = append(list, i)
			}
		}
	}
	list = change(list)
	slices.SortFunc(list, func(a, b plat.Instance) int { return strings.Compare(a.Name, b.Name) })
	p.lists = append(p.lists, listVersion{since: p.clock.Now(), list: list})
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var i plat.Instance
	if err := readJSON(r, &i); err != nil {
		fault.WriteBody(w, err)
		return
	}
	i.Name = mux.Vars(r)["Name"]
	p.SetInstance(i)
	writeReply(w, i)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(mux.Vars(r)["Name"])
	writeReply(w, struct{}{})
}
