package store

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/timer"
	"shallotcourse/pkg/resrc"
)

type (
	// lostAnswerTable loses the answer of each commit, after it took effect,
	// and fails all reads after the first commit.
	lostAnswerTable struct {
		plat.Table
		commits int
	}

	// registerInput is a read, a put or a delete of one resource. A put or
	// delete has an expected revision.
	registerInput struct {
		name     string
		read     bool
		remove   bool
		expected uint64
	}

	// registerOutput is the result that the reader or writer got.
	registerOutput struct {
		accepted bool
		// revision is the accepted one, or else the current one that was
		// returned.
		revision uint64
	}

	// history collects the results of concurrent operations.
	history struct {
		mu         sync.Mutex
		operations []porcupine.Operation
		// notRun holds the change identifiers of writes reported as NotRun.
		notRun []string
		// unknown holds the writes whose outcome was not reported.
		unknown []porcupine.Operation
	}
)

// register models each resource as a register that holds its revision, 0 when
// the resource is absent.
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byName := map[string][]porcupine.Operation{}
		for _, o := range all {
			name := o.Input.(registerInput).name
			byName[name] = append(byName[name], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byName {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		switch {
		case in.read:
			return out.revision == now, now
		case !out.accepted:
			return out.revision == now && (now != in.expected || now == 0), now
		case in.remove:
			return now == in.expected, uint64(0)
		}
		return now == in.expected && out.revision > now, out.revision
	},
}

// Guards against three failures while answers of the table are lost: lost
// updates, writes that take effect twice or although they were reported as
// NotRun, and refusals with a revision that was never current.
func TestWritesAreLinearizable(t *testing.T) {
	t.Parallel()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	for run := range uint64(3) {
		t.Run(fmt.Sprint(run), func(t *testing.T) { checkHistory(t, seed+run) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	is := is.New(t)
	platform := fplat.New(timer.System{})
	server := httptest.NewServer(platform)
	defer server.Close()
	platform.SetFaults(fplat.Faults{LoseProbability: 0.2, LateProbability: 0.2, LateBy: resrc.Duration(20 * time.Millisecond), Seed: seed})
	var (
		h      history
		wg     sync.WaitGroup
		stores []*Store
		start  = time.Now()
	)
	for range 3 {
		stores = append(stores, New(plat.NewClient(server.URL).Table))
	}
	for worker := range 6 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(worker)))
			for i := range 25 {
				h.runRandomOperation(stores[worker%len(stores)], random, start, worker, fmt.Sprintf("change-%d-%d", worker, i))
			}
		})
	}
	wg.Wait()
	platform.SetFaults(fplat.Faults{})
	time.Sleep(50 * time.Millisecond) // let delayed writes take effect
	revisions := h.addUnknownWrites(t, stores[0])
	for _, id := range h.notRun {
		is.Equal(revisions[id], uint64(0)) // a write reported as NotRun must not be in the table
	}
	t.Logf("%d operations, %d unknown, %d refused, %d answers lost",
		len(h.operations), len(h.unknown), len(h.notRun), platform.Counts().Lost)
	is.Equal(porcupine.CheckOperationsTimeout(register, h.operations, 20*time.Second), porcupine.Ok)
}

// runRandomOperation runs and records one random operation. Its short deadline
// leaves some outcomes unknown.
func (h *history) runRandomOperation(s *Store, random *rand.Rand, start time.Time, worker int, id string) {
	in := registerInput{name: fmt.Sprintf("oak-%d", random.IntN(3)), read: random.IntN(3) == 0, remove: random.IntN(4) == 0}
	r, _ := s.Snapshot().Get(resrc.KindModelVersion, in.name)
	in.expected = r.Revision
	w := newModelVersionWrite(in.name, "4", "0", []string{id})
	w.Expected = in.expected
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10+random.IntN(90))*time.Millisecond)
	defer cancel()
	o := porcupine.Operation{ClientId: worker, Input: in, Call: int64(time.Since(start))}
	var (
		c   resrc.Change
		err error
	)
	switch {
	case in.read:
		if err = s.Refresh(ctx); err == nil {
			r, _ = s.Snapshot().Get(resrc.KindModelVersion, in.name)
			c.Revision = r.Revision
		}
	case in.remove:
		c, err = s.Delete(ctx, w)
	default:
		c, err = s.Put(ctx, w)
	}
	o.Return = int64(time.Since(start))
	h.record(o, id, c.Revision, err)
}

func (h *history) record(o porcupine.Operation, id string, revision uint64, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		o.Output = registerOutput{accepted: true, revision: revision}
		h.operations = append(h.operations, o)
		return
	}
	if o.Input.(registerInput).read {
		return
	}
	e := fault.As(err)
	if e.Outcome != fault.NotRun {
		o.Metadata = id
		h.unknown = append(h.unknown, o)
		return
	}
	h.notRun = append(h.notRun, id)
	if e.Code == fault.Conflict || e.Code == fault.NotFound {
		o.Output = registerOutput{revision: e.Revision}
		h.operations = append(h.operations, o)
	}
}

// addUnknownWrites adds the writes of unknown outcome that took effect to the
// operations, and returns the revision of each change identifier in the table.
func (h *history) addUnknownWrites(t *testing.T, s *Store) map[string]uint64 {
	is := is.New(t)
	changes, err := s.ListChanges(context.Background(), 0, pageRows)
	is.NoErr(err)
	revisions := map[string]uint64{}
	for i, c := range changes {
		is.Equal(c.Revision, uint64(i+1))    // change rows have no gaps
		is.Equal(revisions[c.ID], uint64(0)) // no identifier is accepted twice
		revisions[c.ID] = c.Revision
	}
	for _, o := range h.unknown {
		if revision := revisions[o.Metadata.(string)]; revision > 0 {
			o.Output, o.Return = registerOutput{accepted: true, revision: revision}, math.MaxInt64
			h.operations = append(h.operations, o)
		}
	}
	return revisions
}

func (h *lostAnswerTable) Read(ctx context.Context, key string) (plat.Row, error) {
	if h.commits > 0 {
		return plat.Row{}, fault.New(fault.Unavailable, "outage")
	}
	return h.Table.Read(ctx, key)
}

func (h *lostAnswerTable) Commit(ctx context.Context, t plat.Txn) error {
	h.commits++
	err := h.Table.Commit(ctx, t)
	if err == nil {
		err = fault.New(fault.Unavailable, "no answer").WithOutcome(fault.Unknown)
	}
	return err
}

// Guards against a write that took effect but is reported as NotRun, because
// the reads that would find its change identifier fail.
func TestUnsettledWriteIsUnknown(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(fplat.New(timer.System{}))
	defer server.Close()
	s := New(&lostAnswerTable{Table: plat.NewClient(server.URL).Table})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := s.Put(ctx, newModelVersionWrite("oak-1", "4", "0", nil))
	is.Equal(fault.As(err).Outcome, fault.Unknown)
}
