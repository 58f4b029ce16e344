package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"shallotcourse/internal/fault"
)

// clockTick is the unit of the CPU times in /proc/PID/stat: USER_HZ is 100 on all
// architectures in use.
const clockTick = 10 * time.Millisecond

// usage is the CPU time of each process, user and system, by name.
type usage map[string]time.Duration

// readUsage reads the CPU times of processes, given as name and PID.
func readUsage(processes map[string]int) (usage, error) {
	u := usage{}
	for name, id := range processes {
		b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(id), "stat"))
		if err != nil {
			return nil, fault.Newf(fault.NotFound, "CPU time of process %s (PID %d) cannot be read", name, id).WithCause(err)
		}
		t, err := parseStat(string(b))
		if err != nil {
			return nil, err
		}
		u[name] = t
	}
	return u, nil
}

// parseStat returns the CPU time in the content of /proc/PID/stat. The second field
// is the program name in parentheses, which may contain any character, also spaces
// and parentheses.
func parseStat(stat string) (time.Duration, error) {
	const user, system = 11, 12 // field numbers after the name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fault.New(fault.Malformed, "/proc/PID/stat has no CPU time fields")
	}
	u, err1 := strconv.ParseInt(fields[user], 10, 64)
	s, err2 := strconv.ParseInt(fields[system], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fault.New(fault.Malformed, "CPU time in /proc/PID/stat is not a number")
	}
	return time.Duration(u+s) * clockTick, nil
}

// withDifference returns u plus the CPU time between two readings.
func (u usage) withDifference(before, after usage) usage {
	sum := usage{}
	for name, t := range after {
		sum[name] = u[name] + t - before[name]
	}
	return sum
}
