package budget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/timer"
)

const (
	megabyte = 1 << 20
	largest  = 4 * megabyte
)

var (
	startTime = time.Unix(1000, 0)
	accounts  = []string{"", "", "a", "b"}
	phases    = []Phase{Receiving, Running, Sending}
)

type (
	// simulation checks a budget against a model while claims change at random.
	simulation struct {
		t      *rapid.T
		clock  *timer.Manual
		budget *Budget
		claims []*modelClaim
	}

	// modelClaim is what is known of one claim.
	modelClaim struct {
		*Claim
		held    int64
		phase   Phase
		evicted int
	}
)

// ended returns a context with which Grow does not wait.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func newSimulation(t *rapid.T, bytes int64) *simulation {
	clock := timer.NewManual(startTime)
	return &simulation{t: t, clock: clock, budget: New(Options{Bytes: bytes, Clock: clock})}
}

// open opens a claim. Its connection is closed as it is evicted, or only later.
func (s *simulation) open() *modelClaim {
	m := &modelClaim{}
	closes := rapid.Bool().Draw(s.t, "closes")
	m.Claim = s.budget.Open(func() {
		m.evicted++
		if m.phase == Running {
			s.t.Fatal("a running claim was evicted")
		}
		if closes {
			m.Close()
			m.held = 0
		}
	})
	s.claims = append(s.claims, m)
	return m
}

func (s *simulation) grow(m *modelClaim, n int64) error {
	err := m.Grow(ended(), n)
	if err == nil {
		m.held += n
	}
	return err
}

func (s *simulation) step() {
	if len(s.claims) == 0 || rapid.IntRange(0, 9).Draw(s.t, "open") == 0 {
		s.open().SetAccount(rapid.SampledFrom(accounts).Draw(s.t, "account"))
		return
	}
	m := rapid.SampledFrom(s.claims).Draw(s.t, "claim")
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		n := rapid.Int64Range(1, SmallBytes).Draw(s.t, "shrink")
		m.Shrink(n)
		m.held -= min(n, m.held)
	case 1:
		m.Progress()
	case 2:
		m.SetAccount(rapid.SampledFrom(accounts).Draw(s.t, "account"))
	case 3:
		m.phase = rapid.SampledFrom(phases).Draw(s.t, "phase")
		m.SetPhase(m.phase)
	case 4:
		m.Close()
		m.held = 0
	case 5:
		s.clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "ms")) * time.Millisecond)
	default:
		_ = s.grow(m, rapid.Int64Range(1, megabyte).Draw(s.t, "grow"))
	}
}

func (s *simulation) check() {
	sum, large := int64(0), int64(0)
	for _, m := range s.claims {
		sum += m.held
		if m.held > SmallBytes {
			large += m.held
		}
		if m.evicted > 1 {
			s.t.Fatalf("a claim was evicted %d times", m.evicted)
		}
	}
	stats := s.budget.Stats()
	if stats.Used != sum || sum > stats.Bound {
		s.t.Fatalf("%d bytes are used, the claims hold %d, the bound is %d", stats.Used, sum, stats.Bound)
	}
	if most := stats.Bound - stats.Bound/reserveShare; large > most {
		s.t.Fatalf("large claims hold %d bytes of %d outside the reserve", large, most)
	}
}

// Guards against a sum of claims over the bound, claims that are counted wrongly or
// evicted twice or while they run, and memory that is not given back.
func TestSumStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Int64Range(megabyte, 8*megabyte).Draw(t, "bound"))
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			s.step()
			s.check()
		}
		for _, m := range s.claims {
			m.Close()
			m.Close()
			m.held = 0
			if fault.As(m.Grow(ended(), 1)).Code != fault.Overloaded {
				t.Fatal("a closed claim has grown")
			}
			s.check()
		}
		b := s.budget
		if b.used != 0 || b.leaving != 0 || len(b.claims)+len(b.accounts)+len(b.waiters) != 0 {
			t.Fatalf("left: %d bytes, %d leaving, %d claims, %d accounts, %d waiters", b.used, b.leaving, len(b.claims), len(b.accounts), len(b.waiters))
		}
	})
}

// Guards against an ordinary small request that is refused because of a crowd of large
// ones, whatever they hold, whether or not their connections close when evicted.
func TestSmallClaimBesideCrowd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Int64Range(megabyte, 32*megabyte).Draw(t, "bound"))
		for range rapid.IntRange(1, 40).Draw(t, "crowd") {
			m := s.open()
			m.SetAccount(rapid.SampledFrom(accounts).Draw(t, "account"))
			if s.grow(m, rapid.Int64Range(SmallBytes+1, largest).Draw(t, "first")) != nil {
				continue
			}
			for range rapid.IntRange(0, 8).Draw(t, "blocks") {
				_ = s.grow(m, SmallBytes)
			}
			m.phase = rapid.SampledFrom([]Phase{Receiving, Sending}).Draw(t, "phase")
			m.SetPhase(m.phase)
			s.clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
		}
		small := s.open()
		small.SetAccount(rapid.SampledFrom(accounts).Draw(t, "account"))
		if err := s.grow(small, rapid.Int64Range(1, SmallBytes).Draw(t, "small")); err != nil {
			t.Fatal(err)
		}
		s.check()
	})
}

// Guards against the wrong victim: what holds more and has stood still for longer goes
// first, among equal ones those without an account, and never one that runs.
func TestOrderOfGivingWay(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(startTime)
	b := New(Options{Bytes: 8 * megabyte, Clock: clock})
	var order []string
	open := func(name, account string, held int64, p Phase) *Claim {
		var c *Claim
		c = b.Open(func() {
			order = append(order, name)
			c.Close()
		})
		c.SetAccount(account)
		is.NoErr(c.Grow(ended(), held))
		c.SetPhase(p)
		return c
	}
	open("running", "", 2*megabyte, Running)
	open("keyed", "a", megabyte, Receiving)
	open("large", "b", 2*megabyte, Sending)
	open("anonymous", "", megabyte, Receiving)
	clock.Advance(time.Second)
	open("active", "", megabyte, Receiving)
	newcomer := b.Open(nil)
	for range 4 {
		is.NoErr(newcomer.Grow(ended(), megabyte))
		clock.Advance(time.Millisecond)
		newcomer.Progress()
	}
	is.Equal(order, []string{"large", "anonymous", "keyed"})
	is.Equal(b.Stats().Evicted, map[Reason]uint64{Stalled: 3})
}

// Guards against a request that is refused although an evicted connection gives its
// memory back a little later, and against a wait without end when it does not.
func TestGrowWaits(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(startTime)
	b := New(Options{Bytes: 8 * megabyte, Clock: clock})
	evicted := make(chan struct{})
	old := b.Open(func() { close(evicted) })
	is.NoErr(old.Grow(context.Background(), 7*megabyte))
	clock.Advance(time.Second)
	c := b.Open(nil)
	grow := func() <-chan error {
		done := make(chan error, 1)
		go func() { done <- c.Grow(context.Background(), megabyte) }()
		return done
	}
	granted := grow()
	<-evicted
	is.Equal(b.Stats().Waiting, 1)
	old.Close()
	is.NoErr(<-granted)

	running := b.Open(nil)
	is.NoErr(running.Grow(context.Background(), 6*megabyte))
	running.SetPhase(Running)
	refused := grow()
	var err error
	for end := false; !end; {
		select {
		case err = <-refused:
			end = true
		default:
			clock.Advance(growWait / 4)
			time.Sleep(time.Millisecond)
		}
	}
	f := fault.As(err)
	is.Equal(f.Code, fault.Overloaded)
	is.Equal(f.Outcome, fault.NotRun)
	is.True(f.RetryAfter > 0)
	is.Equal(b.Stats().Refused, map[Reason]uint64{Full: 1})
	is.Equal(b.Stats().Waiting, 0)
}

// Guards against a waiting claim that gives way and is closed without an answer: its
// Grow fails instead.
func TestWaiterGivesWay(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(startTime)
	b := New(Options{Bytes: 8 * megabyte, Clock: clock})
	worse := b.Open(func() { t.Error("the waiting claim was evicted") })
	is.NoErr(worse.Grow(context.Background(), 4*megabyte))
	running := b.Open(nil)
	is.NoErr(running.Grow(context.Background(), 2*megabyte))
	running.SetPhase(Running)
	clock.Advance(time.Second)
	waits := make(chan error, 1)
	go func() { waits <- worse.Grow(context.Background(), megabyte+1) }()
	for b.Stats().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	better := b.Open(nil)
	granted := make(chan error, 1)
	go func() { granted <- better.Grow(context.Background(), 2*megabyte) }()
	is.Equal(fault.As(<-waits).Outcome, fault.NotRun)
	is.True(worse.GaveWay())
	worse.Close()
	is.NoErr(<-granted)
}

// Guards against one account that keeps others out: above half of the bound, it may
// not grow while others wait, and its claims give way first.
func TestAccountAboveHalf(t *testing.T) {
	is := is.New(t)
	clock := timer.NewManual(startTime)
	b := New(Options{Bytes: 8 * megabyte, Clock: clock})
	victims := make(chan string, 3)
	open := func(name, account string, held int64) *Claim {
		c := b.Open(func() { victims <- name })
		c.SetAccount(account)
		is.NoErr(c.Grow(ended(), held))
		return c
	}
	open("stalled", "b", 2*megabyte)
	clock.Advance(time.Second)
	open("first", "a", 2*megabyte)
	greedy := open("second", "a", 3*megabyte)
	waiting := make(chan error, 1)
	other := b.Open(nil)
	go func() { waiting <- other.Grow(context.Background(), megabyte) }()
	is.Equal(<-victims, "second")
	is.True(fault.Is(greedy.Grow(ended(), 1), fault.Overloaded))
	more := b.Open(nil)
	more.SetAccount("a")
	more.SetPhase(Running)
	err := more.Grow(ended(), 1)
	is.True(err != nil)
	is.Equal(b.Stats().Refused[Account], uint64(1))
	greedy.Close()
	is.NoErr(<-waiting)
	is.NoErr(more.Grow(ended(), 1))
}

// Guards against a handler without a claim that fails.
func TestNilClaim(t *testing.T) {
	is := is.New(t)
	c := FromContext(context.Background())
	is.True(c == nil)
	is.NoErr(c.Grow(ended(), 1))
	c.Shrink(1)
	c.Progress()
	c.SetAccount("a")
	c.SetPhase(Running)
	is.True(!c.GaveWay())
	c.Close()
	open := New(Options{Bytes: 1, Clock: timer.System{}}).Open(nil)
	is.Equal(FromContext(WithClaim(context.Background(), open)), open)
}

// Guards against races and deadlocks between claims that grow, wait, give way and
// close at the same time.
func TestConcurrentClaims(t *testing.T) {
	is := is.New(t)
	b := New(Options{Bytes: 4 * megabyte, Clock: timer.System{}})
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Go(func() {
			for range 20 {
				c := b.Open(nil)
				ctx, cancel := context.WithCancel(context.Background())
				c.evict = cancel
				c.SetAccount(accounts[i%len(accounts)])
				for range 8 {
					if c.Grow(ctx, SmallBytes) != nil {
						break
					}
					c.Progress()
				}
				c.SetPhase(Running)
				_ = b.Stats()
				cancel()
				c.Close()
			}
		})
	}
	wg.Wait()
	s := b.Stats()
	is.Equal(s.Used, int64(0))
	is.Equal(s.Claims, 0)
	is.Equal(s.Waiting, 0)
}
