package conf_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/conf"
	"shallotcourse/internal/fault"
)

// Guards against flags that are lost, that remove what the file says, or that are taken
// although they make no sense.
func TestBoundsFromFlags(t *testing.T) {
	for _, c := range []struct {
		drain, apply         string
		wantDrain, wantApply time.Duration
		field                string
	}{
		{"", "", 2 * time.Second, 2 * time.Second, ""},
		{"3000ms", "4s", 3 * time.Second, 4 * time.Second, ""},
		{"", "4s", 2 * time.Second, 4 * time.Second, ""},
		{"-3000ms", "", 0, 0, "Bounds.Drain"},
		{"ms", "", 0, 0, "Bounds.Drain"},
		{"", "0s", 0, 0, "Bounds.ConfigApply"},
		{"3000", "", 0, 0, "Bounds.Drain"},
	} {
		t.Run(c.drain+","+c.apply, func(t *testing.T) {
			is := is.New(t)
			g, err := conf.DefaultGateway().WithBounds(c.drain, c.apply)
			if c.field != "" {
				is.Equal(fault.As(err).Field, c.field)
				return
			}
			is.NoErr(err)
			is.Equal([]time.Duration{g.Bounds.Drain.Duration, g.Bounds.ConfigApply.Duration}, []time.Duration{c.wantDrain, c.wantApply})
		})
	}
}

// Guards against a share of the memory that leaves nothing for callers or for the process,
// and against a bound that does not follow from the share.
func TestCallersOfGateway(t *testing.T) {
	is := is.New(t)
	g := conf.DefaultGateway()
	is.Equal(g.Callers.Bytes(1000), int64(300<<20))
	for _, share := range []string{"0", "0.04", "0.7", "-1", "nan"} {
		_, err := conf.ParseGateway([]byte("Callers.MemoryShare = " + share))
		is.True(strings.Contains(err.Error(), "Callers.MemoryShare is "))
	}
}
