// Command stand2 holds the cases and the stand-ins of the second review. Its argument is the
// name of a case, or of a stand-in that a case starts as a process of its own.
package main

import (
	"fmt"
	"os"
)

// cases are run by name. A case reports whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){
	"unframed":     unframedCase,
	"endless-head": endlessCase("--endless-head", 31000),
	"endless-body": endlessCase("--endless-body", 250000),
	"crowd":        crowdCase,
	"revoked":      revokedCase,
}

func main() {
	name := ""
	if len(os.Args) > 1 {
		name = os.Args[1]
	}
	if name == "engine" {
		runEngine()
	}
	f := cases[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "stand2: there is no case %q\n", name)
		os.Exit(2)
	}
	os.Exit(runCase(f))
}
