package conf

import "time"

type (
	// Gateway holds the settings of a gateway.
	Gateway struct {
		// Instance is unique among all processes.
		Instance   string
		DataCentre string
		// Listen is for callers, ReadyListen for the balancer's checks,
		// OpsListen for metrics and status, LinkListen for other gateways.
		Listen      string
		ReadyListen string
		OpsListen   string
		LinkListen  string
		// ReadyPath is what the balancer asks for.
		ReadyPath string
		// Advertise is the address at which other gateways reach LinkListen.
		Advertise string
		// Store is the address of the platform's store.
		Store string
		// FirstStart says that the whole deployment starts for the first time.
		FirstStart bool
		// MemoryMegabytes bounds the memory of the process.
		MemoryMegabytes int
		// Processor is the processor time that the process may take, in cores.
		// The gateways with most of it pass on what others tell.
		Processor float64
		// KeyLife is the age of the configuration from which keys are refused.
		KeyLife Duration
		// StallLimit is how long targets hold work that waits for a lost one.
		StallLimit Duration
		// StopTimeout is the time from SIGTERM to the end of the process.
		StopTimeout Duration
		Repeats     Repeats
		Links       Links
		Log         Log
	}

	// Repeats bounds what all gateways together send to targets more than once.
	Repeats struct {
		Window Duration
		// Ratio is the part of the requests of a window, and Slack the number
		// on top, that may be sent again.
		Ratio float64
		Slack int
	}
)

// DefaultGateway returns the settings that a file may leave out.
func DefaultGateway() Gateway {
	return Gateway{
		Listen: ":8080", ReadyListen: ":8081", LinkListen: ":8082", OpsListen: ":8083", ReadyPath: "/readyz",
		MemoryMegabytes: 256,
		Processor:       1,
		KeyLife:         of(5 * time.Second),
		StallLimit:      of(2 * time.Second),
		StopTimeout:     of(8 * time.Second),
		Repeats:         Repeats{Window: of(10 * time.Second), Ratio: 0.1, Slack: 100},
		Links:           Links{Heartbeat: of(500 * time.Millisecond), Silence: of(2 * time.Second), DialTimeout: of(time.Second)},
		Log:             defaultLog(),
	}
}

// ParseGateway returns the settings in text, or all Problems of it.
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
	c.that(len(g.ReadyPath) > 1 && g.ReadyPath[0] == '/', "ReadyPath", g.ReadyPath, "a path that begins with /")
	c.address("Advertise", g.Advertise)
	c.address("Store", g.Store)
	c.number("MemoryMegabytes", int64(g.MemoryMegabytes), 32, 1<<20)
	c.that(g.Processor > 0 && g.Processor <= 1024, "Processor", g.Processor, "above 0, up to 1024")
	c.duration("KeyLife", g.KeyLife, time.Second, time.Hour)
	c.duration("StallLimit", g.StallLimit, 100*time.Millisecond, time.Minute)
	c.duration("StopTimeout", g.StopTimeout, time.Second, time.Hour)
	c.duration("Repeats.Window", g.Repeats.Window, time.Second, time.Hour)
	c.that(g.Repeats.Ratio >= 0 && g.Repeats.Ratio <= 1, "Repeats.Ratio", g.Repeats.Ratio, "0 to 1")
	c.number("Repeats.Slack", int64(g.Repeats.Slack), 0, 1<<20)
	c.links(g.Links)
	c.log(g.Log)
	return g, c.result()
}
