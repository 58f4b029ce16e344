package lab

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reading other fields as processor time when the name of a
// program holds spaces or brackets.
func TestParseStat(t *testing.T) {
	is := is.New(t)
	got, err := parseStat("7 (a) b (c)) S 1 7 7 0 -1 0 100 0 0 0 21 4 0 0 20 0")
	is.NoErr(err)
	is.Equal(got, 250*time.Millisecond)
	_, err = parseStat("7 (a) S 1 7")
	is.True(err != nil)
}

// Guards against counting the idle share or the first tokens as the cost of
// further tokens.
func TestProcessCost(t *testing.T) {
	is := is.New(t)
	const ms = time.Millisecond
	short := phase{requests: 10, tokens: 10, elapsed: time.Second, processor: usage{"a": 30 * ms}}
	long := phase{requests: 10, tokens: 110, elapsed: 2 * time.Second, processor: usage{"a": 140 * ms}}
	got := processCost("a", 0.01, long, short)
	is.Equal(got, ProcessCost{Name: "a", PerRequest: 2 * ms, PerToken: ms, Idle: 0.01})
}
