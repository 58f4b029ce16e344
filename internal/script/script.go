// Package script runs data-driven tests of packages that make decisions
// without I/O. A script is a txtar archive with one test case per section. A
// line "> name key=value ..." is an input; the lines after it are the decisions
// expected from it. Empty lines and lines that start with # are ignored.
package script

import (
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
)

// Line is one input of a script.
type Line struct {
	t testing.TB
	// Name is the first word after the ">".
	Name string
	args map[string]string
}

// Run runs all cases of the files that match the pattern, each as a subtest.
// It calls start once per case; the function that start returns handles one
// input and returns the decisions made, one string each.
func Run(t *testing.T, pattern string, start func(t *testing.T) func(Line) []string) {
	t.Helper()
	runFiles(t, pattern, func(t *testing.T, text string) { runCase(t, text, start(t)) })
}

// RunInBubble is like Run, but gives each case a time of its own, which passes only
// while all goroutines of the case wait. See testing/synctest.
func RunInBubble(t *testing.T, pattern string, start func(t *testing.T) func(Line) []string) {
	t.Helper()
	runFiles(t, pattern, func(t *testing.T, text string) {
		synctest.Test(t, func(t *testing.T) { runCase(t, text, start(t)) })
	})
}

func runFiles(t *testing.T, pattern string, run func(t *testing.T, text string)) {
	t.Helper()
	files, err := filepath.Glob(pattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no script files match %s: %v", pattern, err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, section := range archive.Files {
			t.Run(filepath.Base(file)+"/"+section.Name, func(t *testing.T) { run(t, string(section.Data)) })
		}
	}
}

func runCase(t *testing.T, text string, handle func(Line) []string) {
	t.Helper()
	var got []string
	inputs := 0
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#"):
		case strings.HasPrefix(line, "> "):
			if len(got) > 0 {
				t.Fatalf("before line %d: unexpected decisions:\n%s", number+1, strings.Join(got, "\n"))
			}
			got = handle(parse(t, line[2:]))
			inputs++
		default:
			if len(got) == 0 || got[0] != line {
				t.Fatalf("line %d: want %q, got %q", number+1, line, got)
			}
			got = got[1:]
		}
	}
	if len(got) > 0 || inputs == 0 {
		t.Fatalf("at the end, after %d inputs: unexpected decisions:\n%s", inputs, strings.Join(got, "\n"))
	}
}

// parse returns the input of a line without its "> " prefix.
func parse(t testing.TB, text string) Line {
	fields := strings.Fields(text)
	l := Line{t: t, Name: fields[0], args: map[string]string{}}
	for _, f := range fields[1:] {
		key, value, ok := strings.Cut(f, "=")
		if !ok {
			t.Fatalf("argument %q is not key=value", f)
		}
		l.args[key] = value
	}
	return l
}

// Text returns the argument with the given key, or "" if it is absent.
func (l Line) Text(key string) string { return l.args[key] }

// Bool reports whether the argument is "true".
func (l Line) Bool(key string) bool { return l.args[key] == "true" }

// Int returns the argument as a number, or 0 if it is absent.
func (l Line) Int(key string) int {
	if l.args[key] == "" {
		return 0
	}
	n, err := strconv.Atoi(l.args[key])
	if err != nil {
		l.t.Fatalf("%s=%s is not a number", key, l.args[key])
	}
	return n
}

// Ints returns the argument as a list of numbers separated by commas.
func (l Line) Ints(key string) []int {
	var out []int
	for _, f := range strings.FieldsFunc(l.args[key], func(r rune) bool { return r == ',' }) {
		n, err := strconv.Atoi(f)
		if err != nil {
			l.t.Fatalf("%s=%s is not a list of numbers", key, l.args[key])
		}
		out = append(out, n)
	}
	return out
}

// Duration returns the argument as a duration, or 0 if it is absent.
func (l Line) Duration(key string) time.Duration {
	if l.args[key] == "" {
		return 0
	}
	d, err := time.ParseDuration(l.args[key])
	if err != nil {
		l.t.Fatalf("%s=%s is not a duration", key, l.args[key])
	}
	return d
}
