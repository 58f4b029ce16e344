package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/pkg/resrc"
)

var noLayers = resrc.LayerRange{}

// Guards against a repeatable call that fails although another target could
// serve it.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	f.linkAgent("s", noLayers).crashed = true
	u := f.linkAgent("u", noLayers)
	for range 10 {
		req, _ := http.NewRequest(http.MethodGet, f.server.URL+"/services/ledger/rolls/7?x=1", nil)
		resp, b := f.do(req)
		is.Equal(resp.StatusCode, 201)
		is.Equal(b, "done /rolls/7?x=1")
	}
	is.Equal(u.effects, 10)
}

// Guards against a call that is sent twice after its link was lost, and against
// the outcome NotRun for a call that ran.
func TestLostLink(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	s := f.linkAgent("s", noLayers)
	s.silent = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.dropLink()
		time.Sleep(20 * time.Millisecond)
		f.entry.LinkUp(s)
	}()
	resp, b := f.post("/services/ledger/transfers", "1")
	is.Equal(resp.StatusCode, 201) // the outcome comes from a Query
	is.Equal(b, "done /transfers")
	is.Equal(s.effects, 1)

	// A new incarnation has no record of the call.
	f.linkAgent("s", noLayers).silent = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		f.linkAgent("s", noLayers)
	}()
	_, b = f.post("/services/ledger/transfers", "2")
	code, outcome := decodeError(t, b)
	is.Equal(code, "TargetLost")
	is.Equal(outcome, "Unknown")
}

// Guards against a second effect of calls with the same idempotency key: the
// stored result is returned, a call with another body is refused, and a lost
// reply of the table makes no difference.
func TestKeyed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	s := f.linkAgent("s", noLayers)
	f.table.loseReplies = 1
	for range 3 {
		resp, b := f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k/1")
		is.Equal(resp.StatusCode, 201)
		is.Equal(b, "done /transfers")
	}
	is.Equal(s.effects, 1)
	resp, b := f.post("/services/ledger/transfers", "2", "Idempotency-Key", "k/1")
	code, _ := decodeError(t, b)
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(code, "KeyReused")
}

// Guards against a call that runs while the table is unavailable, and against
// an attempt that takes over a claim before the nonce of the first attempt is
// fenced.
func TestKeyedFaults(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, Bounds{})
	s := f.linkAgent("s", noLayers)
	f.table.down = true
	_, b := f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k")
	code, outcome := decodeError(t, b)
	is.Equal(code, "Unavailable")
	is.Equal(outcome, "NotRun")
	is.Equal(s.effects, 0)
	f.table.down = false

	// The agent never receives the call and sends nothing: the second attempt
	// fences the nonce of the first and runs.
	s.dropCall = true
	_, b = f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k2")
	_, outcome = decodeError(t, b)
	is.Equal(outcome, "Unknown")
	s.dropCall = false
	resp, _ := f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k2")
	is.Equal(resp.StatusCode, 201)
	is.Equal(s.effects, 1)

	// After the incarnation has ended, the outcome stays Unknown.
	s.silent = true
	_, b = f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k3")
	_, outcome = decodeError(t, b)
	is.Equal(outcome, "Unknown")
	f.linkAgent("s", noLayers)
	for range 2 {
		_, b = f.post("/services/ledger/transfers", "1", "Idempotency-Key", "k3")
		_, outcome = decodeError(t, b)
		is.Equal(outcome, "Unknown")
	}
}
