package follow

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"shallotcourse/internal/board"
	"shallotcourse/internal/bounds"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/topo"
)

type (
	// Config is the configuration in force in this process.
	Config struct {
		topo.Config
		// Raw is the encoded form, as sent to other gateways.
		Raw []byte
		// ConfirmedAt is the boot clock's time at which the configuration was last
		// confirmed to be the newest; 0 is never.
		ConfirmedAt time.Duration
	}

	// Configs follows the configuration. Its version never decreases within one
	// process.
	Configs struct {
		feed
		section *board.Section[Config]
		// requireKeys is true if requests need a key also by a configuration that
		// declares no list of accounts.
		requireKeys bool
		// await returns when the store may be read.
		await func(context.Context)
	}
)

// NewConfigs returns Configs without a configuration; Run fetches it.
func NewConfigs(source Source, clock timer.Service, bootClock BootClock, logger log.Logger) *Configs {
	return &Configs{feed: newFeed(source, clock, bootClock, logger, bounds.Derive(bounds.Default).Config), section: board.New(Config{}), await: func(context.Context) {}}
}

// SetAwait sets a function that Run calls before it reads the store for the first
// time. It returns when other gateways have told what they have, since the store
// may hold an older copy.
func (c *Configs) SetAwait(await func(context.Context)) { c.await = await }

// SetRequireKeys says whether requests always need a key. If not, they need one from
// the first configuration on that declares a list of accounts. It must be called before
// Run.
func (c *Configs) SetRequireKeys(require bool) { c.requireKeys = require }

// Section returns the board section that holds the configuration.
func (c *Configs) Section() *board.Section[Config] { return c.section }

// Age returns the time since the configuration was last confirmed to be the
// newest. It is neverReadAge before the first confirmation.
func (c *Configs) Age() time.Duration { return c.ageOf(c.section.Value().ConfirmedAt) }

// Usable reports whether requests may be admitted by the configuration: while its
// confirmation is as recent as the deployment requires, or if nothing newer is to be had.
func (c *Configs) Usable() bool { return c.usable(c.Age()) }

// Run follows the store until ctx ends.
func (c *Configs) Run(ctx context.Context) {
	c.await(ctx)
	c.poll(ctx, pollOptions{name: "Config", age: c.Age}, func(ctx context.Context, after topo.Version, wait time.Duration) (topo.Version, time.Duration, error) {
		// The confirmation counts from before the request, because the
		// response may show a state as old as that.
		requestedAt := c.bootClock()
		page, err := c.source.Config(ctx, after, wait)
		switch {
		case err != nil:
		case page.Raw != nil:
			c.apply(page.Raw, requestedAt, "store")
		default:
			c.confirm(requestedAt)
		}
		return page.Version, 0, err
	})
}

// ApplySync applies a sync response of another gateway: the configuration of
// that version was the newest at confirmedAt, and raw holds it if it is newer
// than the one in force.
func (c *Configs) ApplySync(version uint64, raw []byte, confirmedAt time.Duration, instance string) {
	if raw != nil {
		c.apply(raw, confirmedAt, instance)
		return
	}
	if version == c.section.Value().Version {
		c.confirm(confirmedAt)
	}
}

// confirm records that the configuration in force was the newest at a time.
func (c *Configs) confirm(at time.Duration) {
	c.section.Update(func(v Config) (Config, bool) {
		if v.Version == 0 || at <= v.ConfirmedAt {
			return v, false
		}
		v.ConfirmedAt = at
		return v, true
	})
}

func (c *Configs) apply(raw []byte, confirmedAt time.Duration, from string) {
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
			v.ConfirmedAt = max(v.ConfirmedAt, confirmedAt)
			return v, true
		}
		if config.Keyless() && (c.requireKeys || v.Version > 0 && !v.Keyless()) {
			// A writer that leaves empty lists out must not open the routes to everybody.
			config = config.WithKeys()
			_ = level.Warn(c.log).Log("event", "ConfigWithoutAccounts", "version", config.Version, "from", from)
		}
		_ = level.Info(c.log).Log("event", "ConfigInForce", "version", config.Version, "before", v.Version, "keys", !config.Keyless(), "from", from)
		return Config{Config: config, Raw: raw, ConfirmedAt: max(v.ConfirmedAt, confirmedAt)}, true
	})
}
