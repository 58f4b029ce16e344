// Command stand starts the gateways of a small deployment with stand-ins for the
// platform, the engines and the clients, plays one case of the review, and judges
// what clients, engines and the platform have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unfit  = 2
)

func main() {
	cases := map[string]func(*world) int{
		"endless-head": endlessHead,
		"grey-engine":  greyEngine,
		"last-tenant":  lastTenant,
		"route-host":   routeHost,
	}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		os.Exit(unfit)
	}
	w, err := newWorld(os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unfit)
	}
	code := cases[os.Args[1]](w)
	w.close()
	os.Exit(code)
}
