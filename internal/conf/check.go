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
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,126}[a-z0-9])?$`)
	hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)

	levels  = []string{"debug", "info", "warn", "error"}
	formats = []string{"logfmt", "json"}
)

// checker collects the problems of one file.
type checker struct {
	problems Problems
}

// that reports a problem unless ok holds.
func (c *checker) that(ok bool, field string, value any, allowed string) {
	reported := slices.ContainsFunc(c.problems, func(p *fault.Error) bool { return p.Field == field })
	if !ok && !reported {
		c.problems = append(c.problems, fault.Invalid(field, value, allowed))
	}
}

func (c *checker) name(field, value string) {
	c.that(nameForm.MatchString(value), field, value, "lower case letters, digits, '-' and '.', at most 128")
}

// listen checks an address to listen on; port 0 lets the system choose.
func (c *checker) listen(field, value string) {
	c.that(hostPort(value, true, 0), field, value, "ip:port or :port")
}

// address checks an address that another process connects to.
func (c *checker) address(field, value string) {
	c.that(hostPort(value, false, 1), field, value, "ip:port with a port of 1 to 65535")
}

func (c *checker) addresses(field string, values []string, least int) {
	c.that(len(values) >= least, field, values, strconv.Itoa(least)+" or more addresses")
	for i, v := range values {
		c.address(field+"["+strconv.Itoa(i)+"]", v)
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	c.that(ok, field, value, "http://host:port or https://host:port")
}

func (c *checker) hashes(field string, values map[string]string) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		c.name(field+"."+name, name)
		c.that(hashForm.MatchString(values[name]), field+"."+name, values[name], "64 lower case hexadecimal digits (SHA-256)")
	}
}

func (c *checker) duration(field string, value Duration, least, most time.Duration) {
	ok := value.bad == "" && value.Duration >= least && value.Duration <= most
	c.that(ok, field, value, `a duration such as "1.5s" from `+least.String()+" to "+most.String())
}

func (c *checker) number(field string, value, least, most int64) {
	allowed := strconv.FormatInt(least, 10) + " to " + strconv.FormatInt(most, 10)
	c.that(value >= least && value <= most, field, value, allowed)
}

func (c *checker) log(l Log) {
	c.that(slices.Contains(levels, l.Level), "Log.Level", l.Level, strings.Join(levels, ", "))
	c.that(slices.Contains(formats, l.Format), "Log.Format", l.Format, strings.Join(formats, ", "))
}

func (c *checker) links(l Links) {
	c.duration("Links.Heartbeat", l.Heartbeat, 10*time.Millisecond, 10*time.Second)
	c.duration("Links.Silence", l.Silence, 30*time.Millisecond, time.Minute)
	// Two heartbeats may be lost to delay before a link counts as silent.
	c.that(l.Silence.Duration >= 3*l.Heartbeat.Duration, "Links.Silence", l.Silence, "at least 3 times Links.Heartbeat")
	c.duration("Links.DialTimeout", l.DialTimeout, 10*time.Millisecond, time.Minute)
}

func (c *checker) result() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

func hostPort(value string, anyHost bool, leastPort int) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= leastPort && n <= 65535 && (net.ParseIP(host) != nil || anyHost && host == "")
}

func defaultLog() Log { return Log{Level: "info", Format: "logfmt"} }

func defaultLinks() Links {
	return Links{Heartbeat: of(250 * time.Millisecond), Silence: of(time.Second), DialTimeout: of(time.Second)}
}

func of(d time.Duration) Duration { return Duration{Duration: d} }
