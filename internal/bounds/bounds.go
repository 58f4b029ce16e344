// Package bounds derives the ages and waits of the data that gateways pass to one
// another from the times within which a deployment requires changes to take effect.
package bounds

import "time"

const (
	// FollowerPollInterval is the interval at which a follower checks the age of the
	// data that it has received.
	FollowerPollInterval = 100 * time.Millisecond
	// StateInterval is the interval at which gateways send their state, by which
	// followers learn of newer versions.
	StateInterval = 200 * time.Millisecond

	// keyLifeMargin is the share of KeyLife that is reserved for the time between the
	// check of a request's key and its arrival at the target.
	keyLifeMargin = 0.1
	// callTime is the time after which a call to a store that is sound is given up,
	// linkTime that of a message to another gateway, and sendTime the time from the
	// first byte of a request to its arrival at the target, with one packet lost.
	callTime = 200 * time.Millisecond
	linkTime = 50 * time.Millisecond
	sendTime = 250 * time.Millisecond
	// ageSlack is what the age of followers' data stays below FollowerMaxAge while all
	// is well, so that they do not call the store then.
	ageSlack = 150 * time.Millisecond
	// syncPatience is how much older than usual data is when other gateways are asked
	// for it, and syncTime how long they may take before keys are refused.
	syncPatience = 500 * time.Millisecond
	syncTime     = 1200 * time.Millisecond

	// maxInterval bounds the rate of calls while the data changes all the time.
	maxInterval          = 600 * time.Millisecond
	maxConfigPoll        = 1500 * time.Millisecond
	maxConfigLeaderPoll  = 700 * time.Millisecond
	maxTargetsPoll       = 2 * time.Second
	maxTargetsLeaderPoll = time.Second
	maxLeaderSync        = 600 * time.Millisecond
	leaderSyncShare      = 0.25
	// minAge and minPoll keep the load of the store in bounds, however short the
	// deployment's times are.
	minAge  = 300 * time.Millisecond
	minPoll = 100 * time.Millisecond
)

type (
	// Bounds holds the times that a deployment requires. All are positive.
	Bounds struct {
		// Drain is the time from when the store shows that a target drains or is gone
		// until no request reaches it.
		Drain time.Duration
		// ConfigApply is the time from when the store accepts a configuration until it
		// is in force.
		ConfigApply time.Duration
		// KeyLife is the time since the configuration was confirmed after which keys
		// are refused.
		KeyLife time.Duration
	}

	// Feed holds the times of one kind of data, the configuration or the target list.
	Feed struct {
		// LongPoll is how long the store may delay a response, LeaderLongPoll the same
		// for a leader, which is shorter because what its followers receive can be two
		// waits old.
		LongPoll, LeaderLongPoll time.Duration
		// FollowerMaxAge is the age up to which a follower does not call the store.
		FollowerMaxAge time.Duration
		// MaxAge is the age from which no request is sent by the data, unless nothing
		// newer is to be had.
		MaxAge time.Duration
		// CallTime is the time, beside the wait, after which a call to the store that
		// answered in time before is given up.
		CallTime time.Duration
		// MinInterval is the time between the starts of two calls while the data
		// changes all the time.
		MinInterval time.Duration
		// SyncAge, LeaderSyncAge and FollowerSyncAge are the ages from which other
		// gateways are asked, by the role of the process.
		SyncAge, LeaderSyncAge, FollowerSyncAge time.Duration
	}

	// Times holds all derived times, and what they amount to.
	Times struct {
		Config, Targets Feed
		// KeyMaxAge is the age from which the configuration can no longer be used to
		// check keys.
		KeyMaxAge time.Duration
		// LeaderSync is the time between two requests of a follower to its leader.
		LeaderSync time.Duration
		Promises   []Promise
	}

	// Promise is a time that the deployment requires, with the steps that stand in a
	// row in the worst case.
	Promise struct {
		Name  string
		Bound time.Duration
		Steps []Step
	}

	// Step is a part of a Promise.
	Step struct {
		Name string
		Time time.Duration
	}
)

// Default holds the shortest times of the known deployments.
var Default = Bounds{Drain: 2 * time.Second, ConfigApply: 2 * time.Second, KeyLife: 5 * time.Second}

// Derive returns the times for a deployment.
func Derive(b Bounds) Times {
	keyAge := time.Duration((1 - keyLifeMargin) * float64(b.KeyLife))
	reserve := FollowerPollInterval + callTime + sendTime
	configAge := max(minAge, min(b.ConfigApply-reserve, keyAge-syncTime-syncPatience))
	targetsAge := max(minAge, b.Drain-reserve)
	t := Times{KeyMaxAge: keyAge, LeaderSync: min(maxLeaderSync, time.Duration(leaderSyncShare*float64(min(configAge, targetsAge))))}
	t.Config = newFeed(min(maxConfigPoll, pollWithin(b.ConfigApply)), maxConfigLeaderPoll, configAge, t.LeaderSync)
	t.Config.SyncAge = max(minAge, min(t.Config.SyncAge, keyAge-syncTime))
	t.Targets = newFeed(min(maxTargetsPoll, pollWithin(b.Drain)), maxTargetsLeaderPoll, targetsAge, t.LeaderSync)
	t.Config, t.Targets = t.Config.withMaxAge(b.ConfigApply-sendTime), t.Targets.withMaxAge(b.Drain-sendTime)
	t.Targets.SyncAge, t.Targets.FollowerSyncAge = min(t.Targets.SyncAge, t.Targets.MaxAge), min(t.Targets.FollowerSyncAge, t.Targets.MaxAge)
	t.Promises = []Promise{
		{"Drain", b.Drain, t.Targets.ownCall()},
		{"ConfigApply", b.ConfigApply, t.Config.ownCall()},
		{"KeyLife", keyAge, []Step{{"age at which other gateways are asked", t.Config.SyncAge}, {"their answer", syncTime}}},
		{"TargetsOfLeader", t.Targets.FollowerMaxAge, t.Targets.fromLeader(t.LeaderSync)},
		{"ConfigOfLeader", t.Config.FollowerMaxAge, t.Config.fromLeader(t.LeaderSync)},
		{"TargetsOfStandalone", b.Drain - sendTime, t.Targets.standalone()},
		{"ConfigOfStandalone", b.ConfigApply - sendTime, t.Config.standalone()},
	}
	return t
}

// pollWithin returns the long poll with which the data of a gateway without a leader is
// young enough for a bound, as it is two polls old at most.
func pollWithin(bound time.Duration) time.Duration {
	return (bound - sendTime - callTime - ageSlack) / 2
}

// newFeed returns the times of a feed whose followers call the store at an age.
func newFeed(poll, maxLeaderPoll, followerAge, leaderSync time.Duration) Feed {
	leaderPoll := (followerAge - leaderSync - StateInterval - callTime - linkTime - ageSlack) / 2
	poll, leaderPoll = max(minPoll, poll), max(minPoll, min(maxLeaderPoll, leaderPoll))
	return Feed{
		CallTime: callTime, MinInterval: min(maxInterval, 2*leaderPoll), LongPoll: poll, LeaderLongPoll: leaderPoll,
		FollowerMaxAge: followerAge, SyncAge: 2*poll + syncPatience, LeaderSyncAge: 2*leaderPoll + syncPatience, FollowerSyncAge: followerAge + syncPatience,
	}
}

// withMaxAge returns f with an age from which no request is sent by the data, or with
// the least that the other times allow.
func (f Feed) withMaxAge(age time.Duration) Feed {
	f.MaxAge = max(age, f.FollowerMaxAge+FollowerPollInterval+f.CallTime, 2*f.LongPoll+f.CallTime, 2*f.LeaderLongPoll+f.CallTime)
	return f
}

// standalone returns the steps that make up the age of what a gateway without a leader
// has from the store.
func (f Feed) standalone() []Step {
	return []Step{{"two long polls", 2 * f.LongPoll}, {"call to the store", callTime}}
}

// ownCall returns the steps until a follower, whose leader lacks the store, acts on a
// change that it reads itself.
func (f Feed) ownCall() []Step {
	return []Step{
		{"age at which a follower calls the store", f.FollowerMaxAge}, {"interval of its checks", FollowerPollInterval},
		{"call to the store", callTime}, {"way of a request that was chosen before", sendTime},
	}
}

// fromLeader returns the steps that make up the age of what a follower has from its
// leader while all is well.
func (f Feed) fromLeader(sync time.Duration) []Step {
	return []Step{
		{"two long polls of the leader", 2 * f.LeaderLongPoll}, {"call to the store", callTime}, {"interval of requests to the leader", sync},
		{"interval of states", StateInterval}, {"message", linkTime},
	}
}

// Sum returns the time of all steps.
func (p Promise) Sum() time.Duration {
	var sum time.Duration
	for _, s := range p.Steps {
		sum += s.Time
	}
	return sum
}

// Excess returns the time by which the steps exceed the bound; 0 if they keep it.
func (p Promise) Excess() time.Duration { return max(0, p.Sum()-p.Bound) }
