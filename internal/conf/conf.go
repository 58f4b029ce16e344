// Package conf decodes and checks the TOML settings of agents, entries and
// gateways.
package conf

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shallotcourse/internal/fault"
)

// maxDecodePasses bounds how often a file is decoded. Each decoding stops at the
// first value of a wrong type, which is removed for the next.
const maxDecodePasses = 64

const (
	// callerMemoryShare is the default of Callers.MemoryShare. It leaves room for the
	// process itself, the responses that are being read (32 MB) and the garbage that
	// the runtime has not collected yet.
	callerMemoryShare = 0.3
	// largeClaimShare is the part of the callers' memory that a single large request
	// can get; the rest is the reserve for small ones.
	largeClaimShare = 0.875
)

type (
	// Callers bounds what the callers of a process can make it hold.
	Callers struct {
		// MemoryShare is the part of MemoryMegabytes that requests and responses of
		// callers may take together.
		MemoryShare float64
	}

	// Duration is a time.Duration that is written as text, such as "1.5s".
	Duration struct {
		time.Duration
		// invalidText is the text of a setting that is not a duration; empty
		// for a valid one.
		invalidText string
	}

	// Log holds the settings of the logger.
	Log struct {
		// Level is "debug", "info", "warn" or "error".
		Level string
		// Format is "logfmt" or "json".
		Format string
	}

	// Links holds the settings of the links between processes.
	Links struct {
		// Heartbeat is the time between heartbeats.
		Heartbeat Duration
		// Silence is the time without received bytes after which a link is
		// closed.
		Silence Duration
		// DialTimeout bounds one attempt to open a link.
		DialTimeout Duration
	}

	// Problems is the error for a file with one or more invalid settings.
	Problems []*fault.Error
)

// Bytes returns the bound on the memory of callers in a process with the given memory.
func (v Callers) Bytes(megabytes int) int64 {
	return int64(v.MemoryShare * float64(megabytes) * (1 << 20))
}

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Detail
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that fault.As returns the first one.
func (ps Problems) Unwrap() []error {
	out := make([]error, len(ps))
	for i, p := range ps {
		out[i] = p
	}
	return out
}

// UnmarshalText implements encoding.TextUnmarshaler. It accepts an invalid text
// too, which the later checks report together with the other problems.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		*d = Duration{invalidText: string(b)}
		return nil
	}
	*d = Duration{Duration: v}
	return nil
}

// decode decodes text into the settings in v, which hold the defaults. It
// returns problems for unknown keys and for values of a wrong type. It returns
// false when text is not valid TOML, so that its settings cannot be checked.
func decode(text []byte, v any) (problems Problems, ok bool) {
	for range maxDecodePasses {
		d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
		err := d.Decode(v)
		if err == nil {
			return problems, true
		}
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) {
			for i := range missing.Errors {
				key := strings.Join(missing.Errors[i].Key(), ".")
				p := fault.Newf(fault.BadInput, "%s is not a setting; allowed: the settings in docs/operators.md", key)
				p.Field = key
				problems = append(problems, p)
			}
			return problems, true
		}
		var bad *toml.DecodeError
		if !errors.As(err, &bad) {
			return append(problems, fault.New(fault.BadInput, err.Error())), false
		}
		rest, value, ok := removeKey(text, bad.Key())
		if !ok {
			row, column := bad.Position()
			p := fault.Newf(fault.BadInput, "line %d, column %d: %s", row, column, bad.Error())
			return append(problems, p), false
		}
		problems = append(problems, fault.Invalid(strings.Join(bad.Key(), "."), value, expectedType(bad)))
		text = rest
	}
	return problems, true
}

// expectedType returns the type of the setting that a value of another type was
// given for, as the text of a problem.
func expectedType(bad *toml.DecodeError) string {
	if _, name, ok := strings.Cut(bad.Error(), " of type "); ok {
		return "a value of type " + name
	}
	return "a value of another type"
}

// removeKey returns the document without one key and the value of that key, so
// that the rest of the document can be checked too.
func removeKey(text []byte, key toml.Key) ([]byte, any, bool) {
	var doc map[string]any
	if len(key) == 0 || toml.Unmarshal(text, &doc) != nil {
		return nil, nil, false
	}
	table := doc
	for _, name := range key[:len(key)-1] {
		inner, ok := table[name].(map[string]any)
		if !ok {
			return nil, nil, false
		}
		table = inner
	}
	last := key[len(key)-1]
	value, ok := table[last]
	delete(table, last)
	rest, err := toml.Marshal(doc)
	return rest, value, ok && err == nil
}

// GoString returns the text of the duration in quotes, which fault.Invalid prints.
func (d Duration) GoString() string {
	if d.invalidText != "" {
		return fmt.Sprintf("%q", d.invalidText)
	}
	return fmt.Sprintf("%q", d.String())
}
