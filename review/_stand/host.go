package main

import (
	"net/http"
	"strconv"
	"time"
)

// configTime is the bound configApplyMs.
const configTime = 2 * time.Second

// routeHost adds a route whose host is written with capitals, and counts the requests
// for it that are answered 404 later than configTime after the acknowledgement.
func routeHost(w *world) int {
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
	w.orderHost = "orders.example"
	if w.trouble {
		w.orderHost = "Orders.example"
	}
	w.writeConfig()
	time.Sleep(configTime + time.Second)
	c := &client{world: w, key: "key-acme"}
	a := ask{method: http.MethodPost, route: "order", host: w.orderHost, body: "transfer", timeout: 4 * time.Second}
	served, unknown := 0, 0
	for range 20 {
		o := c.do(a)
		c.note(a, o)
		switch {
		case o.right:
			served++
		case o.status == http.StatusNotFound:
			unknown++
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.drop()
	w.say("of 20 requests for host %s, sent later than %s after the ack of the config that added its route, %d were served and %d answered 404; CONFIG: one 404 breaks the rule",
		w.orderHost, configTime, served, unknown)
	switch {
	case unknown > 0:
		return broken
	case served < 20:
		return unfit
	}
	return held
}
