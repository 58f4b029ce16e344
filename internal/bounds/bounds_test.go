package bounds_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/bounds"
)

// Guards against times that keep the bounds of one deployment and break those of
// another.
func TestDerivedTimesKeepTheirBounds(t *testing.T) {
	for _, drain := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 10 * time.Second, time.Minute} {
		for _, apply := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 30 * time.Second} {
			for _, keys := range []time.Duration{5 * time.Second, 8 * time.Second, time.Minute} {
				t.Run(fmt.Sprint(drain, apply, keys), func(t *testing.T) {
					is := is.New(t)
					times := bounds.Derive(bounds.Bounds{Drain: drain, ConfigApply: apply, KeyLife: keys})
					for _, p := range times.Promises {
						if p.Excess() > 0 {
							t.Errorf("%s: %s of %s: %v", p.Name, p.Sum(), p.Bound, p.Steps)
						}
					}
					for _, f := range []bounds.Feed{times.Config, times.Targets} {
						is.True(f.LeaderLongPoll <= f.LongPoll)
						is.True(f.LeaderSyncAge > 2*f.LeaderLongPoll) // not while all is well
						is.True(f.FollowerSyncAge > f.FollowerMaxAge) // its own call comes first
						is.True(times.LeaderSync > 0)
						// Not over it while all is well.
						is.True(f.MaxAge >= f.FollowerMaxAge+bounds.FollowerPollInterval+f.CallTime)
						is.True(f.MaxAge >= 2*f.LongPoll+f.CallTime)
						is.True(f.MaxAge >= f.MinInterval+f.CallTime)
					}
					is.True(times.Targets.MaxAge < drain)
					is.True(times.Config.MaxAge < apply)
					is.True(times.Targets.SyncAge <= times.Targets.MaxAge && times.Targets.FollowerSyncAge <= times.Targets.MaxAge)
				})
			}
		}
	}
}

// Guards against a gateway that stays silent about bounds which it cannot keep, and
// against times that overload the store for them.
func TestBoundsThatAreTooShort(t *testing.T) {
	is := is.New(t)
	times := bounds.Derive(bounds.Bounds{Drain: 100 * time.Millisecond, ConfigApply: 100 * time.Millisecond, KeyLife: time.Second})
	exceeded := map[string]bool{}
	for _, p := range times.Promises {
		exceeded[p.Name] = p.Excess() > 0
	}
	is.Equal(exceeded, map[string]bool{"Drain": true, "ConfigApply": true, "KeyLife": true, "TargetsOfLeader": true, "ConfigOfLeader": true, "TargetsOfStandalone": true, "ConfigOfStandalone": true})
	is.True(times.Targets.LeaderLongPoll >= 100*time.Millisecond)
	is.True(times.Targets.FollowerMaxAge > 0 && times.Config.FollowerMaxAge > 0 && times.Config.SyncAge > 0)
}

// Guards against a change of the times of the known deployments that nobody has weighed.
// The list of a gateway without a leader is two long polls old at most.
func TestTimesOfKnownDeployments(t *testing.T) {
	is := is.New(t)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	small := bounds.Derive(bounds.Bounds{Drain: ms(2000), ConfigApply: ms(2000), KeyLife: ms(5000)})
	is.Equal([]time.Duration{small.Targets.LongPoll, small.Targets.SyncAge, small.Config.LongPoll, small.Config.SyncAge}, []time.Duration{ms(700), ms(1750), ms(700), ms(1900)})
	large := bounds.Derive(bounds.Bounds{Drain: ms(4000), ConfigApply: ms(4000), KeyLife: ms(5000)})
	is.Equal([]time.Duration{large.Targets.LeaderLongPoll, large.Config.LeaderLongPoll, large.Config.FollowerMaxAge, large.LeaderSync}, []time.Duration{ms(1000), ms(700), ms(2800), ms(600)})
}
