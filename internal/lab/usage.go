package lab

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"shallotcourse/internal/fault"
)

// tick is the unit of the processor times in /proc/PID/stat. Linux reports them
// to programs at 100 per second on all architectures in use.
const tick = 10 * time.Millisecond

// usage is the processor time of each process, user and system, by name.
type usage map[string]time.Duration

// readUsage reads the processor times of processes, given by name and id.
func readUsage(processes map[string]int) (usage, error) {
	u := usage{}
	for name, id := range processes {
		b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(id), "stat"))
		if err != nil {
			return nil, fault.Newf(fault.NotFound, "process %s (%d) cannot be read", name, id).WithCause(err)
		}
		t, err := parseStat(string(b))
		if err != nil {
			return nil, err
		}
		u[name] = t
	}
	return u, nil
}

// parseStat returns the processor time in the content of /proc/PID/stat. The
// second field is the name of the program, which may hold any character.
func parseStat(stat string) (time.Duration, error) {
	const user, system = 11, 12 // after the name
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= system {
		return 0, fault.New(fault.Malformed, "processor time is missing in the state of a process")
	}
	u, err1 := strconv.ParseInt(fields[user], 10, 64)
	s, err2 := strconv.ParseInt(fields[system], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, fault.New(fault.Malformed, "processor time of a process is no number")
	}
	return time.Duration(u+s) * tick, nil
}

func (u usage) withDifference(before, after usage) usage {
	sum := usage{}
	for name, t := range after {
		sum[name] = u[name] + t - before[name]
	}
	return sum
}
