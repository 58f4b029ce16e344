// Package follow keeps the configuration and the list of targets up to date
// from the platform's store, and knows how fresh they are.
package follow

import (
	"context"
	"time"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/topo"
)

type (
	// ConfigPage is an answer about the configuration.
	ConfigPage struct {
		// Raw is nil if nothing has changed.
		Raw []byte
		// Version is where the next call goes on.
		Version uint64
	}

	// TargetPage is an answer about the list of targets.
	TargetPage struct {
		// Whole says that targets that are not named are gone.
		Whole   bool
		Targets []topo.Target
		Gone    []string
		// Malformed entries name no target to use.
		Malformed []*fault.Error
		// Version is where the next call goes on.
		Version uint64
	}

	// Row is a row of a table of the product's own.
	Row struct {
		Key     string
		Value   []byte
		Version uint64
	}

	// Write puts or deletes a row of a table of the product's own.
	Write struct {
		Key    string
		Value  []byte
		Delete bool
		// Conditional writes need the row at Version; 0 means absent.
		Conditional bool
		Version     uint64
	}

	// Source is the platform's store.
	Source interface {
		// Config returns the configuration if after is 0. Otherwise it returns
		// as soon as the configuration is newer than that, or when the wait is
		// over. A HistoryLost failure asks for a start from 0.
		Config(ctx context.Context, after uint64, wait time.Duration) (ConfigPage, error)
		// Decode returns the configuration in the raw form.
		Decode(raw []byte) (topo.Config, error)
		// Targets returns all targets if after is 0, otherwise the changes as
		// soon as there are any, or none when the wait is over.
		Targets(ctx context.Context, after uint64, wait time.Duration) (TargetPage, error)
		// Rows returns a table of the product's own.
		Rows(ctx context.Context, table string) ([]Row, error)
		// Commit writes one row and returns its new version.
		Commit(ctx context.Context, table string, w Write) (uint64, error)
	}

	// Clock is a steady clock that also counts while the machine is suspended.
	Clock func() time.Duration
)
