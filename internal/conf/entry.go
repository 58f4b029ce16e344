package conf

import "time"

type (
	// Entry holds the settings of an entry process.
	Entry struct {
		// Instance is unique among all processes.
		Instance   string
		DataCentre string
		Region     string
		// Listen serves callers, OperatorListen serves operators and metrics,
		// and LinkListen accepts links of other processes.
		Listen         string
		OperatorListen string
		LinkListen     string
		// Advertise is the address at which other processes reach LinkListen.
		Advertise string
		// Platform is the URL of the platform.
		Platform string
		// Peers holds the Advertise addresses of other entries.
		Peers []string
		// OperatorKeyHashes maps the name of each operator to the hex SHA-256
		// digest of the operator's key. Audit rows show the name.
		OperatorKeyHashes map[string]string
		// MemoryMegabytes is the memory of the process, from which the callers' share
		// follows.
		MemoryMegabytes int
		Callers         Callers
		Limits          EntryLimits
		// BalancerLag is how long the load balancer may still send requests
		// after /readyz has begun to fail.
		BalancerLag Duration
		// StopTimeout bounds the wait for open requests on shutdown, after
		// BalancerLag.
		StopTimeout Duration
		Links       Links
		Log         Log
	}

	// EntryLimits bounds the requests and the links of one entry.
	EntryLimits struct {
		// BodyBytes and HeaderBytes bound the size of one request.
		BodyBytes   int64
		HeaderBytes int64
		// QueueLength bounds the requests that wait for dispatch.
		QueueLength int
		// Concurrency is the initial limit on dispatched requests. The limit
		// then adapts to the measured queue delay.
		Concurrency int
		// FirstToken is the deadline for the first token; a request whose
		// estimated wait is longer is refused at once.
		FirstToken Duration
		// Request is the deadline for the complete answer of a model.
		Request Duration
		// Call is the deadline for a call when the Service resource sets no
		// timeout.
		Call Duration
		// CallRetries bounds the retries of one repeatable call.
		CallRetries int
		// Relink is how long an entry waits for a lost link to come up again
		// before it replaces the stages that used it.
		Relink Duration
		// Write bounds one write to a caller that does not read.
		Write Duration
		// TargetsPerGroup is the minimum number of targets in a group of
		// interchangeable ones that an entry links to. An entry links to more
		// when there are few entries.
		TargetsPerGroup int
	}
)

// DefaultEntry returns the defaults of the settings that a file may omit.
func DefaultEntry() Entry {
	return Entry{
		Listen:          ":8080",
		OperatorListen:  ":8081",
		LinkListen:      ":8082",
		MemoryMegabytes: 512,
		Callers:         defaultCallers(),
		Limits: EntryLimits{
			BodyBytes:       8 << 20,
			HeaderBytes:     64 << 10,
			QueueLength:     2000,
			Concurrency:     1000,
			FirstToken:      newDuration(950 * time.Millisecond),
			Request:         newDuration(5 * time.Minute),
			Call:            newDuration(10 * time.Second),
			CallRetries:     2,
			Relink:          newDuration(250 * time.Millisecond),
			Write:           newDuration(10 * time.Second),
			TargetsPerGroup: 4,
		},
		BalancerLag: newDuration(3 * time.Second),
		StopTimeout: newDuration(5 * time.Minute),
		Links:       defaultLinks(),
		Log:         defaultLog(),
	}
}

// ParseEntry decodes and checks the settings in text. Its error is of type
// Problems and lists every invalid setting.
func ParseEntry(text []byte) (Entry, error) {
	e := DefaultEntry()
	problems, ok := decode(text, &e)
	c := checker{problems: problems}
	if !ok {
		return e, c.result()
	}
	c.name("Instance", e.Instance)
	c.name("DataCentre", e.DataCentre)
	c.name("Region", e.Region)
	c.listen("Listen", e.Listen)
	c.listen("OperatorListen", e.OperatorListen)
	c.listen("LinkListen", e.LinkListen)
	c.address("Advertise", e.Advertise)
	c.url("Platform", e.Platform)
	c.addresses("Peers", e.Peers, 0)
	c.hashes("OperatorKeyHashes", e.OperatorKeyHashes)
	c.duration("BalancerLag", e.BalancerLag, time.Millisecond, 10*time.Minute)
	c.duration("StopTimeout", e.StopTimeout, 0, time.Hour)
	c.number("MemoryMegabytes", int64(e.MemoryMegabytes), 32, 1<<20)
	c.callers(e.Callers)
	c.limits(e.Limits)
	// A long body is held twice while it is joined.
	room := largeClaimShare * float64(e.Callers.Bytes(e.MemoryMegabytes))
	c.require(room >= 2*float64(e.Limits.BodyBytes), "Callers.MemoryShare", e.Callers.MemoryShare,
		"seven eighths of the share of MemoryMegabytes hold Limits.BodyBytes twice")
	c.links(e.Links)
	c.log(e.Log)
	return e, c.result()
}

func (c *checker) limits(l EntryLimits) {
	// A body is sent in one link message, which is limited to 16 MiB.
	c.number("Limits.BodyBytes", l.BodyBytes, 1, 15<<20)
	c.number("Limits.HeaderBytes", l.HeaderBytes, 1<<10, 1<<20)
	c.number("Limits.QueueLength", int64(l.QueueLength), 1, 1<<20)
	c.number("Limits.Concurrency", int64(l.Concurrency), 1, 1<<20)
	c.duration("Limits.FirstToken", l.FirstToken, time.Millisecond, time.Hour)
	c.duration("Limits.Request", l.Request, time.Millisecond, 24*time.Hour)
	c.duration("Limits.Call", l.Call, time.Millisecond, 24*time.Hour)
	c.number("Limits.CallRetries", int64(l.CallRetries), 1, 10)
	c.duration("Limits.Relink", l.Relink, time.Millisecond, 10*time.Second)
	c.duration("Limits.Write", l.Write, 10*time.Millisecond, 10*time.Minute)
	c.number("Limits.TargetsPerGroup", int64(l.TargetsPerGroup), 1, 1024)
}
