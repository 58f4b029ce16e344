package proxy

import (
	"sync"
	"time"
)

// dialMemory is how long a measured delay counts. Afterwards requests are sent again as
// the configuration says, so that a connection that has become faster is found out.
const dialMemory = 5 * time.Second

type (
	// dialTimes holds the measured times to connect to targets, by data centre. They
	// grow when the connection between data centres is full or slow.
	dialTimes struct {
		mu    sync.Mutex
		times map[string]dialTime
	}

	// dialTime is a moving average and the time of its last sample.
	dialTime struct {
		at   time.Time
		mean time.Duration
	}
)

// record records the time that a connection took.
func (d *dialTimes) record(dataCentre string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.times == nil {
		d.times = map[string]dialTime{}
	}
	mean := took
	if old, ok := d.times[dataCentre]; ok && now.Sub(old.at) <= dialMemory {
		mean = movingAverage(old.mean, took)
	}
	d.times[dataCentre] = dialTime{at: now, mean: mean}
}

// delay returns how much longer connections to another data centre take than at home, in
// one direction; 0 if there is no recent sample.
func (d *dialTimes) delay(home, dataCentre string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	there, here := d.times[dataCentre], d.times[home]
	if now.Sub(there.at) > dialMemory {
		return 0
	}
	// A gateway that is short of processor time is slow to connect to any target.
	return max(0, there.mean-here.mean) / 2
}
