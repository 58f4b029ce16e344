package conf

import (
	"time"

	"shallotcourse/internal/bounds"
)

type (
	// Gateway holds the settings of a gateway process.
	Gateway struct {
		// Instance is unique among all processes.
		Instance   string
		DataCentre string
		// Listen serves callers, ReadyListen the load balancer's health checks,
		// OpsListen metrics and status, and LinkListen accepts links of other
		// gateways.
		Listen      string
		ReadyListen string
		OpsListen   string
		LinkListen  string
		// ReadyPath is the URL path of the load balancer's health checks.
		ReadyPath string
		// Advertise is the address at which other gateways reach LinkListen.
		Advertise string
		// Store is the address of the platform's store.
		Store string
		// FirstStart is true when the whole deployment starts for the first
		// time.
		FirstStart bool
		// MemoryMegabytes bounds the memory of the process.
		MemoryMegabytes int
		Callers         Callers
		// Processor is the processor time that the process may use, in cores.
		// The gateways with the most cores relay the state of the others.
		Processor float64
		// RequireKeys is true if requests need an API key also while the configuration
		// declares no client accounts. Without it, they need one from the first
		// configuration on that declares some.
		RequireKeys bool
		// KeyLife is the time since the configuration was last confirmed as
		// current after which API keys are no longer accepted.
		KeyLife Duration
		// CrossByDelays is true if new requests go to another data centre by what the
		// configured delays and the connection in use cost, and not to data centres that
		// are closed; otherwise by fixed costs.
		CrossByDelays bool
		// StallLimit is how long targets keep the work of a chain after another
		// target of the chain was lost.
		StallLimit Duration
		// StopTimeout bounds the time from SIGTERM to the end of the process.
		StopTimeout Duration
		Bounds      Bounds
		Repeats     Repeats
		Links       Links
		Log         Log
	}

	// Bounds holds the times within which the deployment requires changes to take
	// effect. The ages and waits of a gateway follow from them and from KeyLife.
	Bounds struct {
		// Drain is the time from when the store shows that a target drains or is gone
		// until no request reaches it.
		Drain Duration
		// ConfigApply is the time from when the store accepts a configuration until it
		// is in force.
		ConfigApply Duration
	}

	// Repeats bounds the retries that all gateways together send to targets.
	Repeats struct {
		// Window is the time span that Ratio and Slack refer to.
		Window Duration
		// Ratio is the number of retries that are allowed for each request in a
		// window, and Slack the number that is allowed on top.
		Ratio float64
		Slack int
	}
)

// DefaultGateway returns the defaults of the settings that a file may omit.
func DefaultGateway() Gateway {
	return Gateway{
		Listen: ":8080", ReadyListen: ":8081", LinkListen: ":8082", OpsListen: ":8083", ReadyPath: "/readyz",
		MemoryMegabytes: 256,
		Callers:         defaultCallers(),
		Processor:       1,
		KeyLife:         newDuration(bounds.Default.KeyLife),
		StallLimit:      newDuration(2 * time.Second),
		StopTimeout:     newDuration(8 * time.Second),
		Bounds:          Bounds{Drain: newDuration(bounds.Default.Drain), ConfigApply: newDuration(bounds.Default.ConfigApply)},
		Repeats:         Repeats{Window: newDuration(10 * time.Second), Ratio: 0.1, Slack: 100},
		Links:           Links{Heartbeat: newDuration(500 * time.Millisecond), Silence: newDuration(2 * time.Second), DialTimeout: newDuration(time.Second)},
		Log:             defaultLog(),
	}
}

// ParseGateway decodes and checks the settings in text. Its error is of type
// Problems and lists every invalid setting.
func ParseGateway(text []byte) (Gateway, error) {
	g := DefaultGateway()
	problems, ok := decode(text, &g)
	c := checker{problems: problems}
	if !ok {
		return g, c.result()
	}
	c.name("Instance", g.Instance)
	c.name("DataCentre", g.DataCentre)
	c.listen("Listen", g.Listen)
	c.listen("ReadyListen", g.ReadyListen)
	c.listen("OpsListen", g.OpsListen)
	c.listen("LinkListen", g.LinkListen)
	c.require(len(g.ReadyPath) > 1 && g.ReadyPath[0] == '/', "ReadyPath", g.ReadyPath, "a path that begins with /")
	c.address("Advertise", g.Advertise)
	c.address("Store", g.Store)
	c.number("MemoryMegabytes", int64(g.MemoryMegabytes), 32, 1<<20)
	c.callers(g.Callers)
	c.require(g.Processor > 0 && g.Processor <= 1024, "Processor", g.Processor, "above 0, up to 1024")
	c.duration("KeyLife", g.KeyLife, time.Second, time.Hour)
	c.duration("StallLimit", g.StallLimit, 100*time.Millisecond, time.Minute)
	c.duration("StopTimeout", g.StopTimeout, time.Second, time.Hour)
	c.bounds(g.Bounds)
	c.duration("Repeats.Window", g.Repeats.Window, time.Second, time.Hour)
	c.require(g.Repeats.Ratio >= 0 && g.Repeats.Ratio <= 1, "Repeats.Ratio", g.Repeats.Ratio, "0 to 1")
	c.number("Repeats.Slack", int64(g.Repeats.Slack), 0, 1<<20)
	c.links(g.Links)
	c.log(g.Log)
	return g, c.result()
}

// WithBounds returns the settings with other bounds, as text; an empty one stays as it
// is. Its error is of type Problems.
func (g Gateway) WithBounds(drain, configApply string) (Gateway, error) {
	for _, b := range []struct {
		text string
		to   *Duration
	}{{drain, &g.Bounds.Drain}, {configApply, &g.Bounds.ConfigApply}} {
		if b.text != "" {
			// An invalid text is reported by the check.
			_ = b.to.UnmarshalText([]byte(b.text))
		}
	}
	var c checker
	c.bounds(g.Bounds)
	return g, c.result()
}

func (c *checker) bounds(b Bounds) {
	c.duration("Bounds.Drain", b.Drain, 100*time.Millisecond, time.Hour)
	c.duration("Bounds.ConfigApply", b.ConfigApply, 100*time.Millisecond, time.Hour)
}
