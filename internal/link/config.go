package link

import (
	"time"

	"github.com/go-kit/log"

	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
)

const (
	// Path is the HTTP path that a Dialer requests, and where an Acceptor is
	// usually mounted.
	Path = "/link"

	defaultHeartbeat     = 250 * time.Millisecond
	defaultSilence       = time.Second
	defaultDialTimeout   = time.Second
	defaultWriteTimeout  = 2 * time.Second
	defaultQueueMessages = 8192
	defaultQueueBytes    = 32 << 20

	// maxBatchBytes bounds the messages that are joined into one frame. A
	// larger message is sent in a frame of its own.
	maxBatchBytes = 64 << 10
	// readBufferBytes is allocated for each link. With 16 KiB, an idle link
	// took 90 KB instead of 66 KB, both ends together, and messages were no
	// cheaper to transfer.
	readBufferBytes = 4 << 10
	// writeBufferBytes holds a whole batch, so that writing it takes one system
	// call. Write buffers come from a pool and are held only during a write.
	writeBufferBytes = maxBatchBytes + 64
	// maxHelloBytes bounds the frame with Hello, which arrives before the peer
	// is known.
	maxHelloBytes = 16 << 10
)

type (
	// Config holds the settings that all links of a process share.
	Config struct {
		// Hello returns the Hello message of this process. It is called for
		// each new link and, for the revision, for each heartbeat.
		Hello   func() wire.Hello
		Handler Handler
		Timer   timer.Service
		Logger  log.Logger

		// Heartbeat is the interval between heartbeats.
		Heartbeat time.Duration
		// Silence is the time without received bytes after which a link is
		// closed. It must be more than twice Heartbeat.
		Silence time.Duration
		// DialTimeout bounds the time to connect, upgrade and exchange Hello.
		DialTimeout time.Duration
		// WriteTimeout bounds the time to write a frame, or each part of a
		// large one.
		WriteTimeout time.Duration
		// BackoffFirst and BackoffMax are the first and the longest delay
		// before a redial.
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
