package conf

import (
	"maps"
	"net"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"shallotcourse/internal/fault"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

	logLevels  = []string{"debug", "info", "warn", "error"}
	logFormats = []string{"logfmt", "json"}
)

// checker checks the values of one settings file and collects the problems.
type checker struct {
	problems Problems
}

// require adds a problem unless ok is true. Only the first problem of a field is
// kept.
func (c *checker) require(ok bool, field string, value any, allowed string) {
	reported := slices.ContainsFunc(c.problems, func(p *fault.Error) bool { return p.Field == field })
	if !ok && !reported {
		c.problems = append(c.problems, fault.Invalid(field, value, allowed))
	}
}

func (c *checker) name(field, value string) {
	c.require(namePattern.MatchString(value), field, value, "lower case letters, digits, '-' and '.', at most 128")
}

// listen checks an address to listen on; port 0 lets the system choose.
func (c *checker) listen(field, value string) {
	c.require(isHostPort(value, true, 0), field, value, "ip:port or :port")
}

// address checks an address that other processes connect to.
func (c *checker) address(field, value string) {
	c.require(isHostPort(value, false, 1), field, value, "ip:port with a port of 1 to 65535")
}

func (c *checker) addresses(field string, values []string, minCount int) {
	c.require(len(values) >= minCount, field, values, strconv.Itoa(minCount)+" or more addresses")
	for i, v := range values {
		c.address(field+"["+strconv.Itoa(i)+"]", v)
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	c.require(ok, field, value, "http://host:port or https://host:port")
}

func (c *checker) hashes(field string, values map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		c.name(field+"."+name, name)
		c.require(hashPattern.MatchString(values[name]), field+"."+name, values[name], "64 lower case hexadecimal digits (SHA-256)")
	}
}

func (c *checker) duration(field string, value Duration, lower, upper time.Duration) {
	ok := value.invalidText == "" && value.Duration >= lower && value.Duration <= upper
	c.require(ok, field, value, `a duration such as "1.5s" from `+lower.String()+" to "+upper.String())
}

func (c *checker) number(field string, value, lower, upper int64) {
	allowed := strconv.FormatInt(lower, 10) + " to " + strconv.FormatInt(upper, 10)
	c.require(value >= lower && value <= upper, field, value, allowed)
}

func (c *checker) log(l Log) {
	c.require(slices.Contains(logLevels, l.Level), "Log.Level", l.Level, strings.Join(logLevels, ", "))
	c.require(slices.Contains(logFormats, l.Format), "Log.Format", l.Format, strings.Join(logFormats, ", "))
}

func (c *checker) links(l Links) {
	c.duration("Links.Heartbeat", l.Heartbeat, 10*time.Millisecond, 10*time.Second)
	c.duration("Links.Silence", l.Silence, 30*time.Millisecond, time.Minute)
	// A link must survive two delayed heartbeats before it counts as silent.
	c.require(l.Silence.Duration >= 3*l.Heartbeat.Duration, "Links.Silence", l.Silence, "at least 3 times Links.Heartbeat")
	c.duration("Links.DialTimeout", l.DialTimeout, 10*time.Millisecond, time.Minute)
}

func (c *checker) callers(v Callers) {
	c.require(v.MemoryShare >= 0.05 && v.MemoryShare <= 0.6, "Callers.MemoryShare", v.MemoryShare, "0.05 to 0.6")
}

func (c *checker) result() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

func isHostPort(value string, allowEmptyHost bool, minPort int) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= minPort && n <= 65535 && (net.ParseIP(host) != nil || allowEmptyHost && host == "")
}

func defaultCallers() Callers { return Callers{MemoryShare: callerMemoryShare} }

func defaultLog() Log { return Log{Level: "info", Format: "logfmt"} }

func defaultLinks() Links {
	return Links{Heartbeat: newDuration(250 * time.Millisecond), Silence: newDuration(time.Second), DialTimeout: newDuration(time.Second)}
}

func newDuration(d time.Duration) Duration { return Duration{Duration: d} }
