package conf

const (
	// callerMemoryShare is the default of Callers.MemoryShare. The rest of the memory
	// is for the process itself, links, responses that are read, and garbage.
	callerMemoryShare = 0.3
	// defaultEntryMegabytes is the default of an entry's MemoryMegabytes.
	defaultEntryMegabytes = 512
)

// Callers bounds what callers can make a process hold.
type Callers struct {
	// Connections bounds the callers' connections. If it is 0, or more than the limit
	// on descriptors allows, the bound follows from that limit.
	Connections int
	// MemoryShare is the share of MemoryMegabytes that callers may claim.
	MemoryShare float64
}

func defaultCallers() Callers { return Callers{MemoryShare: callerMemoryShare} }

func (c *checker) callers(s Callers) {
	c.number("Callers.Connections", int64(s.Connections), 0, 1<<20)
	c.require(s.MemoryShare > 0 && s.MemoryShare <= 0.9, "Callers.MemoryShare", s.MemoryShare, "above 0, up to 0.9")
}
