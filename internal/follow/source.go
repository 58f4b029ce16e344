// Package follow keeps the configuration and the target list up to date from
// the platform's store and tracks their age.
package follow

import (
	"context"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

type (
	// ConfigPage is one response about the configuration.
	ConfigPage struct {
		// Raw is the encoded configuration; nil if it has not changed.
		Raw []byte
		// Version is the value of after for the next call.
		Version topo.Version
	}

	// TargetPage is one response about the target list.
	TargetPage struct {
		// Complete is true if targets missing from the page are to be removed.
		Complete bool
		Targets  []topo.Target
		// Gone holds the IDs of the targets that have been removed.
		Gone []string
		// Malformed holds the errors of entries that could not be decoded; they
		// are skipped.
		Malformed []*fault.Error
		// Version is the value of after for the next call.
		Version topo.Version
	}

	// Row is a row of one of shallotcourse's own tables in the store.
	Row struct {
		Key     string
		Value   []byte
		Version topo.Version
	}

	// Write sets or deletes a row of one of shallotcourse's own tables.
	Write struct {
		Key    string
		Value  []byte
		Delete bool
		// Conditional writes succeed only if the row is at Version; the zero
		// Version means that it must not exist.
		Conditional bool
		Version     topo.Version
	}

	// Source is a client of the platform's store. Responses of an earlier era
	// than one seen before fail with Unavailable.
	Source interface {
		// Config returns the configuration if after is zero. Otherwise it is a
		// long poll: it returns as soon as the configuration is newer than
		// after, or when wait has passed. After a HistoryLost error, which also
		// says that after is of an earlier era, the caller starts again from
		// zero.
		Config(ctx context.Context, after topo.Version, wait time.Duration) (ConfigPage, error)
		// Decode decodes the raw form of the configuration.
		Decode(raw []byte) (topo.Config, error)
		// Targets returns all targets if after is zero. Otherwise it is a long
		// poll: it returns the changes since after as soon as there are any, or
		// none when wait has passed.
		Targets(ctx context.Context, after topo.Version, wait time.Duration) (TargetPage, error)
		// Rows returns all rows of one of shallotcourse's own tables.
		Rows(ctx context.Context, table string) ([]Row, error)
		// Commit writes one row and returns its new version. A condition on a
		// version of an earlier era fails with Conflict. If the restore became
		// known only with the response, the write may have taken effect all the
		// same, so the caller reads the row before it goes on.
		Commit(ctx context.Context, table string, w Write) (topo.Version, error)
		// Era returns the newest era of the store that this process has seen. It
		// rises when the store comes back from an older copy; 0 if the store
		// names none.
		Era() uint64
	}

	// BootClock returns the time of the boot clock, a monotonic clock that also
	// counts while the machine is suspended.
	BootClock func() time.Duration
)
