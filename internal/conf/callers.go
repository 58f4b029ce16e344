package conf

const (
	// callerMemoryShare is the default of Callers.MemoryShare. It leaves room for the
	// process itself, the responses that are being read (32 MB) and the garbage that
	// the runtime has not collected yet.
	callerMemoryShare = 0.3
	// largeClaimShare is the part of the callers' memory that a single large request
	// can get; the rest is the reserve for small ones.
	largeClaimShare = 0.875
)

// Callers bounds what the callers of a process can make it hold.
type Callers struct {
	// Connections bounds the callers' connections. If it is 0, or more than the limit
	// on descriptors allows, the bound follows from that limit.
	Connections int
	// MemoryShare is the part of MemoryMegabytes that callers may claim together.
	MemoryShare float64
}

// Bytes returns the bound on the memory of callers in a process with the given memory.
func (v Callers) Bytes(megabytes int) int64 {
	return int64(v.MemoryShare * float64(megabytes) * (1 << 20))
}

func defaultCallers() Callers { return Callers{MemoryShare: callerMemoryShare} }

func (c *checker) callers(v Callers) {
	c.number("Callers.Connections", int64(v.Connections), 0, 1<<20)
	c.require(v.MemoryShare >= 0.05 && v.MemoryShare <= 0.6, "Callers.MemoryShare", v.MemoryShare, "0.05 to 0.6")
}
