package cmds

import (
	"time"

	"golang.org/x/sys/unix"
)

// The reasons for which connections are evicted and refused at the bounds of the
// listeners. The budget has reasons of its own.
const (
	callersReason   = "Connections"
	checksReason    = "CheckConnections"
	operatorsReason = "OperatorConnections"
	linksReason     = "LinkConnections"
)

const (
	// assumedDescriptors is the limit on descriptors if it cannot be read.
	assumedDescriptors = 1024
	// minReserve and maxReserve bound the descriptors that callers' connections
	// leave to targets, the store, other processes, logs and the other listeners.
	minReserve = 128
	maxReserve = 1024
	// maxCheckConnections bounds the connections of the readiness listener, and
	// maxOperatorConnections and maxLinkConnections those of the operators' and the
	// link listener.
	maxCheckConnections    = 64
	maxOperatorConnections = 64
	maxLinkConnections     = 1024
	// shortRequestTimeout bounds the time to receive a request on the readiness and
	// the operators' listener, and the time to write its response.
	shortRequestTimeout = 5 * time.Second
)

// connLimits holds the limits of a listener's connections.
type connLimits struct {
	// Connections bounds the open connections, hijacked ones included; 0 is no
	// bound. Reason is the reason that is counted when one is evicted or refused.
	Connections int
	Reason      string
	// Head bounds the time to receive the head of a request.
	Head time.Duration
	// Receive bounds the time to receive a whole request, and Respond the time
	// from the first to the last byte of its response, unless the handler sets
	// a deadline; 0 is no bound.
	Receive, Respond time.Duration
	// DropBodies is true if handlers get no bodies, and connections with a body
	// are closed after the response.
	DropBodies bool
}

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

// descriptorReserve returns the part of the limit that is not for callers.
func descriptorReserve(limit int) int { return min(max(limit/4, minReserve), maxReserve) }

// callerLimits returns the limits of the callers' listener. By default, its bound
// is the limit on descriptors less the reserve; below 171 descriptors the reserve
// would take more than three quarters, and callers get a quarter.
func callerLimits(connections, descriptors int) connLimits {
	if most := max(1, descriptors/4, descriptors-descriptorReserve(descriptors)); connections <= 0 || connections > most {
		connections = most
	}
	return connLimits{Connections: connections, Reason: callersReason, Head: headerTimeout}
}

// checkLimits returns the limits of the readiness listener. It and the operators'
// listener together take at most half of the reserve.
func checkLimits(descriptors int) connLimits {
	return connLimits{
		Connections: min(maxCheckConnections, descriptorReserve(descriptors)/4), Reason: checksReason,
		Head: shortRequestTimeout, Receive: shortRequestTimeout, Respond: shortRequestTimeout, DropBodies: true,
	}
}

// operatorLimits returns the limits of the operators' listener.
func operatorLimits(descriptors int) connLimits {
	return connLimits{
		Connections: min(maxOperatorConnections, descriptorReserve(descriptors)/4), Reason: operatorsReason,
		Head: shortRequestTimeout, Receive: shortRequestTimeout, Respond: shortRequestTimeout,
	}
}

// linkLimits returns the limits of the link listener. Links have no time limit,
// since they last as long as both processes.
func linkLimits(descriptors int) connLimits {
	return connLimits{Connections: max(1, min(maxLinkConnections, descriptors/4)), Reason: linksReason, Head: headerTimeout}
}
