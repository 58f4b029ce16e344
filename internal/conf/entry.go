package conf

import "time"

type (
	// Entry holds the settings of an entry.
	Entry struct {
		// Instance is unique among all processes.
		Instance   string
		DataCentre string
		Region     string
		// Listen is for callers, OperatorListen for operators and metrics, and
		// LinkListen for the other processes.
		Listen         string
		OperatorListen string
		LinkListen     string
		// Advertise is the address at which other processes reach LinkListen.
		Advertise string
		// Platform is the URL of the platform.
		Platform string
		// Peers are the advertised addresses of other entries.
		Peers []string
		// OperatorKeyHashes holds the hex SHA-256 digest of each operator's
		// key under the operator's name, which audit rows carry.
		OperatorKeyHashes map[string]string
		Limits            EntryLimits
		// BalancerLag is how long the balancer may still send callers after
		// /readyz has failed.
		BalancerLag Duration
		// StopTimeout bounds the wait for open requests after BalancerLag.
		StopTimeout Duration
		Links       Links
		Log         Log
	}

	// EntryLimits bounds what callers may ask of one entry.
	EntryLimits struct {
		BodyBytes   int64
		HeaderBytes int64
		// QueueLength bounds the requests that wait for dispatch.
		QueueLength int
		// Concurrency bounds dispatched requests at the start; it adapts to
		// the measured queue delay from there.
		Concurrency int
		// FirstToken is the deadline for the first token; a request whose
		// estimated wait is longer is refused at once.
		FirstToken Duration
		// Request is the deadline for a whole answer of a model.
		Request Duration
		// Call is the deadline for a call whose service sets no timeout.
		Call Duration
		// CallRetries bounds the retries of one repeatable call.
		CallRetries int
		// Relink is the time in which a lost link may come back before the
		// stages behind it are replaced.
		Relink Duration
		// Write bounds one write to a caller that does not read.
		Write Duration
		// TargetsPerGroup is the least number of links to interchangeable
		// targets; there are more while few entries share them.
		TargetsPerGroup int
	}
)

// DefaultEntry returns the settings that a file may leave out.
func DefaultEntry() Entry {
	return Entry{
		Listen:         ":8080",
		OperatorListen: ":8081",
		LinkListen:     ":8082",
		Limits: EntryLimits{
			BodyBytes:       8 << 20,
			HeaderBytes:     64 << 10,
			QueueLength:     2000,
			Concurrency:     1000,
			FirstToken:      of(950 * time.Millisecond),
			Request:         of(5 * time.Minute),
			Call:            of(10 * time.Second),
			CallRetries:     2,
			Relink:          of(250 * time.Millisecond),
			Write:           of(10 * time.Second),
			TargetsPerGroup: 4,
		},
		BalancerLag: of(3 * time.Second),
		StopTimeout: of(5 * time.Minute),
		Links:       defaultLinks(),
		Log:         defaultLog(),
	}
}

// ParseEntry returns the settings in text, or all Problems of it.
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
	c.limits(e.Limits)
	c.links(e.Links)
	c.log(e.Log)
	return e, c.result()
}

func (c *checker) limits(l EntryLimits) {
	// A body travels in one message, which is bounded at 16 MiB.
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
