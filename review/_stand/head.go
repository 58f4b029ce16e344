package main

import (
	"bufio"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of the answers that the faulty engine spoils, and
	// troubleTime how long it does.
	spoiledShare = 0.4
	troubleTime  = 6500 * time.Millisecond
	// spoiledBytesPerSecond is the pace of a head without end, a fiftieth of the
	// engine's link.
	spoiledBytesPerSecond = 5_000_000
	// streamInterval and callInterval are the intervals between the requests of all
	// clients together.
	streamInterval = 12500 * time.Microsecond
	callInterval   = 40 * time.Millisecond
	// channelRequests is the mean number of requests of a client on one channel.
	channelRequests = 8
)

// endlessHead lets one of seven model engines send bytes without end in the head of
// some answers, and counts the requests that other engines work on and that are cut.
func endlessHead(w *world) int {
	for i := range 7 {
		if _, err := w.addEngine("i-model-"+strconv.Itoa(i), "zone-"+string(rune('a'+i%2)), true); err != nil {
			return unfit
		}
	}
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
	var answers sync.Map
	stop := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	w.clients(&wg, stop, 100, 100*streamInterval, ask{method: http.MethodPost, route: "draft", body: "prompt", timeout: 20 * time.Second, maxGap: 2 * time.Second}, &answers)
	w.clients(&wg, stop, 12, 12*callInterval, ask{method: http.MethodPost, route: "register", body: "transfer", timeout: 4 * time.Second}, &answers)
	faulty := w.model[1]
	if w.trouble {
		for range 4 {
			time.Sleep(6 * time.Second)
			w.note("trouble: %s spoils %g of its answers for %s", faulty.id, spoiledShare, troubleTime)
			faulty.setSpoil(spoilHead)
			time.Sleep(troubleTime)
			faulty.setSpoil(nil)
			w.note("trouble: ends")
		}
	}
	wg.Wait()
	return w.judgeCuts(&answers, faulty)
}

func (e *engine) setSpoil(f func(http.ResponseWriter, *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.spoil = f
}

// spoilHead sends the head of an answer without end, until the caller closes.
func spoilHead(w http.ResponseWriter, _ *http.Request) bool {
	if rand.Float64() >= spoiledShare {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	out := bufio.NewWriterSize(conn, 16<<10)
	_, err = out.WriteString("HTTP/1.1 200 OK\r\n")
	start, sent := time.Now(), 0
	for n := int64(0); err == nil; n++ {
		line := strconv.FormatInt(n, 36) + ":\r\n"
		if sent += len(line); n%1000 == 0 {
			time.Sleep(time.Until(start.Add(time.Duration(sent) * time.Second / spoiledBytesPerSecond)))
		}
		_, err = out.WriteString(line)
	}
	return true
}

// clients starts n clients that each send a request every interval until stop.
func (w *world) clients(wg *sync.WaitGroup, stop time.Time, n int, interval time.Duration, a ask, answers *sync.Map) {
	for range n {
		c := &client{world: w, key: "key-acme"}
		wg.Go(func() {
			time.Sleep(rand.N(interval))
			for time.Now().Before(stop) {
				next := time.Now().Add(interval)
				o := c.do(a)
				if o.sent {
					answers.Store(o.id, o)
				}
				c.note(a, o)
				if rand.IntN(channelRequests) == 0 {
					c.drop()
				}
				time.Sleep(time.Until(next))
			}
			c.drop()
		})
	}
}

// judgeCuts counts the requests from kept channels that reached a sound engine and
// whose channel was closed without an answer.
func (w *world) judgeCuts(answers *sync.Map, faulty *engine) int {
	total, served, lost := 0, 0, 0
	answers.Range(func(_, v any) bool {
		o := v.(answer)
		total++
		if o.right {
			served++
		}
		if !o.kept || o.left || o.status != 0 || o.err == nil {
			return true
		}
		sound, at := true, ""
		for _, e := range append(append([]*engine{}, w.model...), w.apps...) {
			if e.arrived(o.id) {
				at += " " + e.id
				sound = sound && e != faulty
			}
		}
		if at != "" && sound {
			lost++
			w.note("judge: request %s of a kept channel to %s was at%s, and its channel ended without an answer: %v", o.id, o.gateway, at, o.err)
		}
		return true
	})
	often := 0
	for _, g := range w.gateways {
		ends, peak := g.endCount()
		w.say("%s: ended by itself %d times, peak memory %d MB of %d", g.name, ends, peak, w.memoryMb)
		if ends >= 3 {
			often++
		}
	}
	w.say("%d requests, %d served; LOST: %d requests from kept channels, passed on to a sound engine, ended without an answer (more than 3 break the rule)", total, served, lost)
	w.say("Fault: %d of %d gateways ended by themselves three times or more (two break the rule)", often, len(w.gateways))
	if served < total/2 && !w.trouble {
		return unfit
	}
	if lost > 3 || often >= 2 {
		return broken
	}
	return held
}
