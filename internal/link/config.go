package link

import (
	"time"

	"github.com/go-kit/log"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// Path is where an Acceptor is usually mounted and what a Dialer asks for.
	Path = "/link"

	defaultHeartbeat     = 250 * time.Millisecond
	defaultSilence       = time.Second
	defaultDialTimeout   = time.Second
	defaultWriteTimeout  = 2 * time.Second
	defaultQueueMessages = 8192
	defaultQueueBytes    = 32 << 20

	// batchBytes bounds the messages that are joined into one frame. A larger
	// message travels alone.
	batchBytes = 64 << 10
	// readBuffer is held by each link. At 16 KiB an idle link took 90 KB instead
	// of 66 KB, both ends together, and messages cost no less.
	readBuffer = 4 << 10
	// writeBuffer takes a whole batch, which then needs one system call. It is
	// taken from a pool for each write.
	writeBuffer = batchBytes + 64
	// helloBytes bounds the frame that holds Hello, which arrives before the
	// peer is known.
	helloBytes = 16 << 10
)

type (
	// Config holds what all links of a process share.
	Config struct {
		// Hello returns what this process says of itself. It is called for
		// each new link and for each heartbeat.
		Hello   func() wire.Hello
		Handler Handler
		Timer   timer.Service
		Logger  log.Logger

		// Heartbeat is the interval between heartbeats.
		Heartbeat time.Duration
		// Silence is the time without received bytes after which a link is
		// closed. It must be more than twice Heartbeat.
		Silence time.Duration
		// DialTimeout bounds connecting, upgrade and Hello together.
		DialTimeout time.Duration
		// WriteTimeout bounds the writing of one frame, or of each part of a
		// large one.
		WriteTimeout time.Duration
		// BackoffFirst and BackoffMax bound the wait before a redial.
		BackoffFirst time.Duration
		BackoffMax   time.Duration
		// QueueMessages and QueueBytes bound the send queue of each link.
		QueueMessages int
		QueueBytes    int
	}
)

func (c Config) withDefaults() Config {
	if c.Timer == nil {
		c.Timer = timer.System{}
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.Silence, defaultSilence)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.BackoffFirst, 50*time.Millisecond)
	setDefault(&c.BackoffMax, time.Second)
	setDefault(&c.QueueMessages, defaultQueueMessages)
	setDefault(&c.QueueBytes, defaultQueueBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
