package conf

import (
	"time"

	"github.com/pelletier/go-toml/v2"

	"shallotcourse/internal/wire"
)

type (
	// Agent holds the settings of an agent process.
	Agent struct {
		// Instance is unique among all processes.
		Instance string
		// Target is the name of the Target resource that describes the target
		// that the agent serves.
		Target     string
		DataCentre string
		Region     string
		// LinkListen accepts links of other processes, OpsListen serves metrics
		// and health checks.
		LinkListen string
		OpsListen  string
		// Advertise is the address at which other processes reach LinkListen.
		Advertise string
		// Engine or Service is the URL of the target, a model engine or another
		// service. Exactly one of them is set.
		Engine  string
		Service string
		// Platform is the URL of the platform.
		Platform string
		// Peers holds the Advertise addresses of some entries.
		Peers []string
		// Lease is the time after which a claim of the target expires unless it
		// is renewed.
		Lease Duration
		// OrderTimeout bounds one order to the engine, such as to load layers.
		// Unless the engine checks fencing tokens, a new owner waits this long
		// after the old lease has expired, so that no old order is still
		// running.
		OrderTimeout Duration
		// StepTimeout bounds one step at the engine.
		StepTimeout Duration
		// CallTimeout bounds one call when the Service resource sets no timeout.
		CallTimeout Duration
		// OrphanTimeout is the time after which a session is freed when its
		// entry has no link to the agent.
		OrphanTimeout Duration
		// StopTimeout bounds the wait for in-flight work on shutdown.
		StopTimeout Duration
		// Sessions is the upper bound of the adaptive limit on open sessions and
		// calls.
		Sessions int
		Links    Links
		Log      Log
	}
)

// DefaultAgent returns the defaults of the settings that a file may omit.
func DefaultAgent() Agent {
	return Agent{
		LinkListen:    ":8082",
		OpsListen:     ":8083",
		Lease:         newDuration(10 * time.Second),
		OrderTimeout:  newDuration(2 * time.Minute),
		StepTimeout:   newDuration(2 * time.Second),
		CallTimeout:   newDuration(30 * time.Second),
		OrphanTimeout: newDuration(5 * time.Second),
		StopTimeout:   newDuration(5 * time.Minute),
		Sessions:      1024,
		Links:         defaultLinks(),
		Log:           defaultLog(),
	}
}

// ParseAgent decodes and checks the settings in text. Its error is of type
// Problems and lists every invalid setting.
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
	c.require((a.Engine == "") != (a.Service == ""), "Engine", a.Engine, "exactly one of Engine and Service")
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

// DetectRole returns the role of the process that a settings file is for. Only the
// file of an agent has the key Target, and only that of a gateway the key Store.
func DetectRole(text []byte) wire.Role {
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
