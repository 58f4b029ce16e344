package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/pkg/resrc"
)

var none = resrc.LayerRange{}

// Guards against a repeatable call that fails while another target could
// have served it.
func TestRepeatable(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	w.up("s", none).dead = true
	u := w.up("u", none)
	for range 10 {
		req, _ := http.NewRequest(http.MethodGet, w.server.URL+"/services/ledger/rolls/7?x=1", nil)
		resp, b := w.do(req)
		is.Equal(resp.StatusCode, 201)
		is.Equal(b, "done /rolls/7?x=1")
	}
	is.Equal(u.effects, 10)
}

// Guards against a call that is sent twice after its link was lost, and
// against a NotRun for a call that ran.
func TestLostLink(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	s := w.up("s", none)
	s.mute = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		s.cut()
		time.Sleep(20 * time.Millisecond)
		w.entry.LinkUp(s)
	}()
	resp, b := w.post("/services/ledger/transfers", "1")
	is.Equal(resp.StatusCode, 201) // found by Query
	is.Equal(b, "done /transfers")
	is.Equal(s.effects, 1)

	// A new incarnation knows nothing of the call.
	w.up("s", none).mute = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		w.up("s", none)
	}()
	_, b = w.post("/services/ledger/transfers", "2")
	code, outcome := decodeError(t, b)
	is.Equal(code, "TargetLost")
	is.Equal(outcome, "Unknown")
}

// Guards against a second effect for a key: the stored result is returned,
// another body is refused, and a lost table answer changes nothing.
func TestKeyed(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	s := w.up("s", none)
	w.table.lose = 1
	for range 3 {
		resp, b := w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k/1")
		is.Equal(resp.StatusCode, 201)
		is.Equal(b, "done /transfers")
	}
	is.Equal(s.effects, 1)
	resp, b := w.post("/services/ledger/transfers", "2", "Idempotency-Key", "k/1")
	code, _ := decodeError(t, b)
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.Equal(code, "KeyReused")
}

// Guards against an effect while the table is down, and against a takeover
// before the old nonce is fenced.
func TestKeyedFaults(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, Bounds{})
	s := w.up("s", none)
	w.table.down = true
	_, b := w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k")
	code, outcome := decodeError(t, b)
	is.Equal(code, "Unavailable")
	is.Equal(outcome, "NotRun")
	is.Equal(s.effects, 0)
	w.table.down = false

	// The call is lost on the way and its link stays silent: the second
	// attempt fences the first nonce and runs.
	s.dropCall = true
	_, b = w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k2")
	_, outcome = decodeError(t, b)
	is.Equal(outcome, "Unknown")
	s.dropCall = false
	resp, _ := w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k2")
	is.Equal(resp.StatusCode, 201)
	is.Equal(s.effects, 1)

	// An incarnation that is gone leaves Unknown for good.
	s.mute = true
	_, b = w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k3")
	_, outcome = decodeError(t, b)
	is.Equal(outcome, "Unknown")
	w.up("s", none)
	for range 2 {
		_, b = w.post("/services/ledger/transfers", "1", "Idempotency-Key", "k3")
		_, outcome = decodeError(t, b)
		is.Equal(outcome, "Unknown")
	}
}
