package conf

import (
	"time"

	"github.com/pelletier/go-toml/v2"

	"shallotcourse/internal/wire"
)

type (
	// Agent holds the settings of an agent.
	Agent struct {
		// Instance is unique among all processes.
		Instance string
		// Target is the resource that declares the target beside the agent.
		Target     string
		DataCentre string
		Region     string
		// LinkListen is for the other processes, OpsListen for metrics and
		// health checks.
		LinkListen string
		OpsListen  string
		// Advertise is the address at which other processes reach LinkListen.
		Advertise string
		// Exactly one of Engine and Service is the URL of the target.
		Engine  string
		Service string
		// Platform is the URL of the platform.
		Platform string
		// Peers are the advertised addresses of some entries.
		Peers []string
		// Lease is how long a claim of the target lasts without renewal.
		Lease Duration
		// OrderTimeout bounds one order to the engine. A new owner waits for
		// it after the old lease has expired, unless the engine checks fencing
		// tokens.
		OrderTimeout Duration
		// StepTimeout bounds one step at the engine.
		StepTimeout Duration
		// CallTimeout bounds one call where the Service resource has no bound.
		CallTimeout Duration
		// OrphanTimeout frees sessions whose entry has no link.
		OrphanTimeout Duration
		// StopTimeout bounds the wait for in-flight work.
		StopTimeout Duration
		// Sessions bounds the adaptive limit of open sessions and calls.
		Sessions int
		Links    Links
		Log      Log
	}
)

// DefaultAgent returns the settings that a file may leave out.
func DefaultAgent() Agent {
	return Agent{
		LinkListen:    ":8082",
		OpsListen:     ":8083",
		Lease:         of(10 * time.Second),
		OrderTimeout:  of(2 * time.Minute),
		StepTimeout:   of(2 * time.Second),
		CallTimeout:   of(30 * time.Second),
		OrphanTimeout: of(5 * time.Second),
		StopTimeout:   of(5 * time.Minute),
		Sessions:      1024,
		Links:         defaultLinks(),
		Log:           defaultLog(),
	}
}

// ParseAgent returns the settings in text, or all Problems of it.
func ParseAgent(text []byte) (Agent, error) {
	a := DefaultAgent()
	problems, ok := decode(text, &a)
	c := checker{problems: problems}
	if !ok {
		return a, c.result()
	}
	c.name("Instance", a.Instance)
	c.name("Target", a.Target)
	c.name("DataCentre", a.DataCentre)
	c.name("Region", a.Region)
	c.listen("LinkListen", a.LinkListen)
	c.listen("OpsListen", a.OpsListen)
	c.address("Advertise", a.Advertise)
	c.that((a.Engine == "") != (a.Service == ""), "Engine", a.Engine, "exactly one of Engine and Service")
	if a.Engine != "" {
		c.url("Engine", a.Engine)
	}
	if a.Service != "" {
		c.url("Service", a.Service)
	}
	c.url("Platform", a.Platform)
	c.addresses("Peers", a.Peers, 1)
	c.duration("Lease", a.Lease, 100*time.Millisecond, 10*time.Minute)
	c.duration("OrderTimeout", a.OrderTimeout, 10*time.Millisecond, time.Hour)
	c.duration("StepTimeout", a.StepTimeout, 10*time.Millisecond, 10*time.Minute)
	c.duration("CallTimeout", a.CallTimeout, 10*time.Millisecond, time.Hour)
	c.duration("OrphanTimeout", a.OrphanTimeout, 100*time.Millisecond, 10*time.Minute)
	c.duration("StopTimeout", a.StopTimeout, 0, time.Hour)
	c.number("Sessions", int64(a.Sessions), 1, 1<<16)
	c.links(a.Links)
	c.log(a.Log)
	return a, c.result()
}

// RoleOf tells which process a file of settings is for: only an agent has a
// Target, and only a gateway a Store.
func RoleOf(text []byte) wire.Role {
	var head struct{ Target, Store any }
	_ = toml.Unmarshal(text, &head)
	switch {
	case head.Target != nil:
		return wire.RoleAgent
	case head.Store != nil:
		return wire.RoleGateway
	}
	return wire.RoleEntry
}
