package conf

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"shallotcourse/internal/fault"
)

// Guards against an invalid setting that is accepted, an error that omits other
// problems of a file, and a problem without the field, the value or the allowed
// values. Each archive has a file "entry.toml" or "agent.toml", and the expected
// error text in "problems".
func TestParse(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	is.New(t).True(len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(name)
			is.NoErr(err)
			var report error
			for _, f := range archive.Files {
				switch f.Name {
				case "entry.toml":
					_, report = ParseEntry(f.Data)
				case "agent.toml":
					_, report = ParseAgent(f.Data)
				case "problems":
					got := ""
					if report != nil {
						got = report.Error()
					}
					is.Equal(got, strings.TrimSpace(string(f.Data)))
				}
			}
			var problems Problems
			if errors.As(report, &problems) {
				is.Equal(fault.As(report).Code, fault.BadInput)
			}
		})
	}
}
