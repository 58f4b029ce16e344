package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against other fields that are read as CPU time when the program name
// contains spaces or parentheses.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	got, err := parseStat("7 (a) b (c)) S 1 7 7 0 -1 0 100 0 0 0 21 4 0 0 20 0")
	is.NoErr(err)
	is.Equal(got, 250*time.Millisecond)
	_, err = parseStat("7 (a) S 1 7")
	is.True(err != nil)
}

// Guards against idle use or first tokens that are counted as the cost of further
// tokens.
func TestProcessCost(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	short := phase{requests: 10, tokens: 10, elapsed: time.Second, cpu: usage{"a": 30 * ms}}
	long := phase{requests: 10, tokens: 110, elapsed: 2 * time.Second, cpu: usage{"a": 140 * ms}}
	got := processCost("a", 0.01, long, short)
	is.Equal(got, ProcessCost{Name: "a", PerRequest: 2 * ms, PerToken: ms, Idle: 0.01})
}
