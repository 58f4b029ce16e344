package follow

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

const (
	// configWait is how long the store may hold an answer about the
	// configuration. With the request's timeout it stays below the time in
	// which a new configuration must be in force.
	configWait = 1500 * time.Millisecond
	// configWaitReads is the same for a process that reads for others: what it
	// tells them is as old as two waits.
	configWaitReads = 700 * time.Millisecond
	// configTold is the age up to which a process that is told leaves the store
	// alone. A call then ends before others are asked or keys are refused.
	configTold = 2800 * time.Millisecond
)

type (
	// Config is the configuration in force at this process.
	Config struct {
		topo.Config
		// Raw is the form that other entries are given.
		Raw []byte
		// Proof is the last moment at which no newer configuration existed, as
		// far as it is proved; 0 is never.
		Proof time.Duration
	}

	// Configs follows the configuration. Its version never falls within one
	// process.
	Configs struct {
		feed
		section *board.Section[Config]
	}
)

// NewConfigs returns a follower; Run starts it.
func NewConfigs(source Source, clock timer.Service, steady Clock, logger log.Logger) *Configs {
	return &Configs{feed: newFeed(source, clock, steady, logger), section: board.New(Config{})}
}

// Section returns the section that holds the configuration.
func (c *Configs) Section() *board.Section[Config] { return c.section }

// Age is the time since the configuration was proved to be the newest. It is
// very large before the first proof.
func (c *Configs) Age() time.Duration { return c.since(c.section.Value().Proof) }

// Run follows the store until the context ends.
func (c *Configs) Run(ctx context.Context) {
	p := poller{name: "Config", age: c.Age, told: configTold, waits: waits{configWait, configWaitReads}}
	c.poll(ctx, p, func(after uint64, wait time.Duration) (uint64, time.Duration, error) {
		// The proof counts from before the request, because the answer may be
		// as old as that.
		asked := c.steady()
		page, err := c.source.Config(ctx, after, wait)
		switch {
		case err != nil:
		case page.Raw != nil:
			c.adopt(page.Raw, asked, "store")
		default:
			c.prove(asked)
		}
		return page.Version, 0, err
	})
}

// Vouched takes over what another entry knows: the configuration was the
// newest at proof, and raw holds it if it is newer than the one in force.
func (c *Configs) Vouched(version uint64, raw []byte, proof time.Duration, instance string) {
	if raw != nil {
		c.adopt(raw, proof, instance)
		return
	}
	if version == c.section.Value().Version {
		c.prove(proof)
	}
}

// prove records that the configuration in force was the newest at a moment.
func (c *Configs) prove(at time.Duration) {
	c.section.Update(func(v Config) (Config, bool) {
		if v.Version == 0 || at <= v.Proof {
			return v, false
		}
		v.Proof = at
		return v, true
	})
}

func (c *Configs) adopt(raw []byte, proof time.Duration, from string) {
	config, err := c.source.Decode(raw)
	if err != nil {
		_ = level.Error(c.log).Log("event", "ConfigMalformed", "from", from, "err", err)
		return
	}
	c.section.Update(func(v Config) (Config, bool) {
		if config.Version < v.Version {
			return v, false
		}
		if config.Version == v.Version {
			v.Proof = max(v.Proof, proof)
			return v, true
		}
		_ = level.Info(c.log).Log("event", "ConfigInForce", "version", config.Version, "before", v.Version, "from", from)
		return Config{Config: config, Raw: raw, Proof: max(v.Proof, proof)}, true
	})
}
