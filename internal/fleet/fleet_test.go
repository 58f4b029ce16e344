package fleet

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"shallotcourse/internal/plat"
	"shallotcourse/internal/wire"
)

// Guards against wrong views: an outdated list that overrides a link or an
// announcement, a restarted instance that keeps the state of its old
// incarnation, and instances that are removed while the list cannot be read.
// Each archive has a script of one observation per line, and the views expected
// at its "view" lines.
func TestMerge(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	is.New(t).True(len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(name)
			is.NoErr(err)
			is.Equal(runScript(t, string(archive.Files[0].Data)), string(archive.Files[1].Data))
		})
	}
}

func runScript(t *testing.T, script string) string {
	var observations Observations
	var out strings.Builder
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		switch words[0] {
		case "after":
			d, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(d)
			observations = observations.Pruned(now)
		case "list":
			var list []plat.Instance
			for _, w := range words[1:] {
				name, state, _ := strings.Cut(w, "=")
				list = append(list, plat.Instance{Name: name, Role: "Agent", State: plat.InstanceState(state)})
			}
			observations = observations.WithList(list, now)
		case "link":
			observations = observations.WithLinkUp(parseHello(words[1]), now)
		case "loss":
			observations = observations.WithLinkDown(parseHello(words[1]), now)
		case "leaving":
			observations = observations.WithLeaving(parseHello(words[1]))
		case "view":
			fmt.Fprintf(&out, "%v:", now.Sub(start))
			for _, i := range observations.View(now).Instances {
				fmt.Fprintf(&out, " %s=%s", i.Name, i.State)
				if i.Seen >= 0 {
					fmt.Fprintf(&out, "(%v)", i.Seen)
				}
			}
			fmt.Fprintln(&out)
		default:
			t.Fatalf("unknown command %q", words[0])
		}
	}
	return out.String()
}

func parseHello(word string) wire.Hello {
	name, incarnation, _ := strings.Cut(word, "/")
	return wire.Hello{Instance: name, Incarnation: incarnation, Role: wire.RoleAgent}
}
