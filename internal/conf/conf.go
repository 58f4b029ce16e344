// Package conf reads the TOML settings of the daemons and checks them.
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

// maxProblems bounds the passes over a file; each pass after the first drops
// one value of a wrong type.
const maxProblems = 64

type (
	// Duration reads as "1.5s".
	Duration struct {
		time.Duration
		// bad is the text that is not a duration.
		bad string
	}

	// Log says what is logged and how.
	Log struct {
		// Level is "debug", "info", "warn" or "error".
		Level string
		// Format is "logfmt" or "json".
		Format string
	}

	// Links holds the times of the links between processes.
	Links struct {
		Heartbeat   Duration
		Silence     Duration
		DialTimeout Duration
	}

	// Problems is the failure of a file with one or more bad fields.
	Problems []*fault.Error
)

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Detail
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that fault.As finds the first.
func (ps Problems) Unwrap() []error {
	out := make([]error, len(ps))
	for i, p := range ps {
		out[i] = p
	}
	return out
}

// UnmarshalText implements encoding.TextUnmarshaler. A bad text is kept for
// the checks, which report it together with the other problems.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		*d = Duration{bad: string(b)}
		return nil
	}
	*d = Duration{Duration: v}
	return nil
}

// decode reads text strictly into the settings in v, which hold the defaults,
// and returns what is wrong with the form of the file. It returns false for a
// file that is not TOML, whose fields cannot be checked.
func decode(text []byte, v any) (problems Problems, ok bool) {
	for range maxProblems {
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
		rest, value, ok := without(text, bad.Key())
		if !ok {
			row, column := bad.Position()
			p := fault.Newf(fault.BadInput, "line %d, column %d: %s", row, column, bad.Error())
			return append(problems, p), false
		}
		problems = append(problems, fault.Invalid(strings.Join(bad.Key(), "."), value, wantedType(bad)))
		text = rest
	}
	return problems, true
}

// wantedType names the type of a setting that got a value of another type.
func wantedType(bad *toml.DecodeError) string {
	if _, name, ok := strings.Cut(bad.Error(), " of type "); ok {
		return "a value of type " + name
	}
	return "a value of another type"
}

// without returns the document without one key, so that the rest of it can be
// checked too.
func without(text []byte, key toml.Key) ([]byte, any, bool) {
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

// GoString shows a duration as the file has it, for problem reports.
func (d Duration) GoString() string {
	if d.bad != "" {
		return fmt.Sprintf("%q", d.bad)
	}
	return fmt.Sprintf("%q", d.String())
}
