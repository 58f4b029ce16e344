package main

import (
	"net/http"
	"strconv"
	"time"
)

// revokeTime is the bound revokeMs.
const revokeTime = 5 * time.Second

// lastTenant removes the last tenant from the config, and counts the requests with its
// key that run later than revokeTime after the acknowledgement.
func lastTenant(w *world) int {
	w.tenants = w.tenants[:1]
	for i := range 3 {
		if _, err := w.addEngine("i-app-"+strconv.Itoa(i), "zone-"+string(rune('a'+i%2)), false); err != nil {
			return unfit
		}
	}
	w.writeConfig()
	if w.addGateways(2) != nil || !w.waitReady(20*time.Second) {
		w.say("the deployment does not become ready")
		return unfit
	}
	time.Sleep(contactTime)
	c := &client{world: w, key: "key-acme"}
	a := ask{method: http.MethodPost, route: "register", body: "transfer", timeout: 4 * time.Second}
	send := func(n int) (ran, refused int) {
		for range n {
			o := c.do(a)
			c.note(a, o)
			for _, e := range w.apps {
				ran += e.ran(o.id)
			}
			if o.status == http.StatusUnauthorized {
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.drop()
		return ran, refused
	}
	if ran, _ := send(10); ran != 10 {
		w.say("%d of 10 requests ran before the change", ran)
		return unfit
	}
	if w.trouble {
		w.tenants = []map[string]any{}
	} else {
		// The tenant stays and loses its key.
		w.tenants = []map[string]any{{"name": "acme", "apiKeys": []string{}, "priority": 1}}
	}
	w.writeConfig()
	time.Sleep(revokeTime + time.Second)
	ran, refused := send(20)
	w.say("of 20 requests sent later than %s after the ack of the config that took their key away, %d ran and %d were answered 401; CONFIG: one that runs breaks the rule",
		revokeTime, ran, refused)
	if ran > 0 {
		return broken
	}
	return held
}
