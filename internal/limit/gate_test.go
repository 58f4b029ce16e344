package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/script"
)

var startTime = time.Unix(1000, 0)

// gateScript is the state of one case in testdata.
type gateScript struct {
	gate   *Gate
	budget RetryBudget
}

// Runs the cases in testdata; each describes the failure that it guards against.
func TestGateScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", func(t *testing.T) func(script.Line) []string {
		w := &gateScript{budget: NewRetryBudget(startTime)}
		return func(l script.Line) []string { return w.apply(t, l) }
	})
}

func (w *gateScript) apply(t *testing.T, l script.Line) []string {
	now := startTime.Add(l.Duration("at"))
	switch l.Name {
	case "gate":
		w.gate = NewGate(Bounds{
			Queue: l.Int("queue"), Start: l.Int("start"), Min: max(1, l.Int("min")), Max: max(1, l.Int("max")), Target: time.Second,
		})
	case "enter":
		return []string{formatAdmission(w.gate.Enter(l.Text("account"), l.Int("weight"), time.Second, now))}
	case "leave":
		return formatReleased(w.gate.Leave(l.Duration("held")))
	case "cancel":
		if w.gate.Cancel(uint64(l.Int("id"))) {
			return []string{"removed"}
		}
		return []string{"gone"}
	case "room":
		return formatReleased(w.gate.SetFreeCapacity(l.Int("free")))
	case "clear":
		return formatReleased(w.gate.ClearFreeCapacity())
	case "retry":
		return []string{w.gate.RetryAfter(now, 0).String()}
	case "fill":
		for range l.Int("n") {
			w.gate.Enter("a", 1, time.Second, now)
		}
	case "first":
		w.gate.FirstToken(l.Duration("after"))
	case "fast":
		for range l.Int("n") {
			w.gate.FirstToken(time.Millisecond)
		}
	case "refusal":
		w.gate.TargetRefused()
	case "adapt":
		return append(formatReleased(w.gate.Adapt(now)), fmt.Sprint("limit ", w.gate.Limit()))
	case "successes":
		for range l.Int("n") {
			w.budget = w.budget.Succeeded(now)
		}
	case "retries":
		granted := 0
		for range l.Int("n") {
			b, ok := w.budget.Retry(now)
			w.budget = b
			if ok {
				granted++
			}
		}
		return []string{fmt.Sprint(granted)}
	default:
		t.Fatalf("input %q is not known", l.Name)
	}
	return nil
}

func formatAdmission(a Admission) string {
	switch {
	case a.Admitted:
		return "go"
	case a.Refused:
		return "refused"
	case a.Evicted != 0:
		return fmt.Sprintf("queued %d evicts %d", a.ID, a.Evicted)
	}
	return fmt.Sprint("queued ", a.ID)
}

func formatReleased(ids []uint64) []string {
	var out []string
	for _, id := range ids {
		out = append(out, fmt.Sprint("release ", id))
	}
	return out
}

// Guards against an account that is served less than its weight allows while
// others wait, a ticket that is lost or served twice, and a queue that exceeds its
// maximum length.
func TestQueueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 60).Draw(t, "bound")
		q := NewQueue(bound)
		weights := map[string]int{}
		for _, name := range []string{"a", "b", "c"} {
			weights[name] = rapid.IntRange(1, 5).Draw(t, "weight "+name)
		}
		waiting := map[uint64]string{}
		for id := range uint64(rapid.IntRange(0, 120).Draw(t, "tickets")) {
			name := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "account")
			waiting[id+1] = name
			if out := q.Push(Ticket{ID: id + 1, Account: name, Weight: weights[name]}); out != nil {
				delete(waiting, out.ID)
			}
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 && q.Remove(id+1) {
				delete(waiting, id+1)
			}
		}
		if q.Len() != len(waiting) || q.Len() > bound {
			t.Fatalf("%d tickets wait, want %d, bound %d", q.Len(), len(waiting), bound)
		}
		left, served := map[string]int{}, map[string]float64{}
		for _, name := range waiting {
			left[name]++
		}
		for len(left) > 0 {
			out := q.Pop()
			if out == nil || waiting[out.ID] != out.Account {
				t.Fatalf("popped %v", out)
			}
			delete(waiting, out.ID)
			served[out.Account] += 1 / float64(weights[out.Account])
			if left[out.Account]--; left[out.Account] == 0 {
				delete(left, out.Account)
			}
			for name := range left {
				if ahead := served[out.Account] - served[name]; ahead > 1+1e-9 {
					t.Fatalf("%s is %v rounds ahead of %s", out.Account, ahead, name)
				}
			}
		}
	})
}

// Guards against an account with few requests that waits until the whole queue of
// a large account has been served.
func TestSmallAccountIsNotStarved(t *testing.T) {
	is := is.New(t)
	q := NewQueue(2000)
	for id := range uint64(1000) {
		q.Push(Ticket{ID: id + 1, Account: "large", Weight: 4})
	}
	for range 100 {
		q.Pop()
	}
	for id := range uint64(10) {
		q.Push(Ticket{ID: 5000 + id, Account: "small", Weight: 1})
	}
	is.True(q.EstimateAhead("small", 1) < 60)
	small := 0
	for range 50 {
		if q.Pop().Account == "small" {
			small++
		}
	}
	is.True(small >= 9 && small <= 10) // one in five
}
