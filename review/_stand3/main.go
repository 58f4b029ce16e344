package main

import (
	"fmt"
	"os"
)

// The exit statuses of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER TROUBLE (0: without the disruption)")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(folder string, trouble bool) (int, error){
		"late-accept": lateAccept, "late-body": lateBody, "unsealed-success": unsealedSuccess,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	status, err := run(os.Args[2], os.Args[3] != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		status = exitNotRun
	}
	os.Exit(status)
}
