package agent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/wire"
)

// Guards against load reports that repeat what the entries already know, and
// against significant changes that are reported late.
func TestReportDue(t *testing.T) {
	is := is.New(t)
	var r reportFilter
	now := time.Unix(100, 0)
	base := wire.Load{Open: 50, Limit: 64, Ready: true}
	is.True(r.shouldSend(base, now)) // the first
	is.True(!r.shouldSend(base, now.Add(200*time.Millisecond)))
	small := base
	small.Open = 55
	is.True(!r.shouldSend(small, now.Add(400*time.Millisecond)))
	for name, change := range map[string]func(*wire.Load){
		"open":    func(l *wire.Load) { l.Open = 70 },
		"limit":   func(l *wire.Load) { l.Limit = 40 },
		"delay":   func(l *wire.Load) { l.QueueDelay = 8 * time.Millisecond },
		"leaving": func(l *wire.Load) { l.Leaving = true },
		"ready":   func(l *wire.Load) { l.Ready = false },
		"version": func(l *wire.Load) { l.Version = "oak-2" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fresh := reportFilter{last: base, sentAt: now}
			l := base
			change(&l)
			is.True(fresh.shouldSend(l, now.Add(200*time.Millisecond)))
		})
	}
	is.True(r.shouldSend(base, now.Add(time.Second))) // an unchanged load is reported once per maxReportInterval
}
