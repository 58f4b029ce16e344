// Package plat is the interface to the platform: its table, object store,
// instance list and weight store.
package plat

import (
	"context"
)

const (
	// StateLive is an instance that the platform considers running.
	StateLive InstanceState = "Live"
	// StateLeaving is an instance that the platform is about to stop.
	StateLeaving InstanceState = "Leaving"
)

type (
	// Row is one row of the table.
	Row struct {
		Key string
		// Version grows with each write to the key and is never 0.
		Version uint64
		Value   []byte
	}

	// Condition holds when the row has the given version.
	Condition struct {
		Key string
		// Version 0 means that the row is absent.
		Version uint64
	}

	// Write puts or deletes one row.
	Write struct {
		Key    string
		Value  []byte
		Delete bool
	}

	// Txn is applied atomically, and only if all conditions hold.
	Txn struct {
		Conditions []Condition
		Writes     []Write
	}

	// Table is the transactional table. A failure with outcome Unknown means
	// that the transaction may have been applied; fault.Conflict means that a
	// condition did not hold and nothing was written.
	Table interface {
		// Read returns the row, or fault.NotFound.
		Read(ctx context.Context, key string) (Row, error)
		// List returns up to limit rows whose key has the prefix and is
		// greater than after, in key order.
		List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
		Commit(ctx context.Context, t Txn) error
	}

	// Objects is the object store.
	Objects interface {
		Get(ctx context.Context, name string) ([]byte, error)
		Put(ctx context.Context, name string, data []byte) error
	}

	// InstanceState is the platform's view of an instance.
	InstanceState string

	// Instance is one row of the platform's instance list.
	Instance struct {
		Name       string
		Address    string
		DataCentre string
		// Role is "Entry" or "Agent".
		Role  string
		State InstanceState
	}

	// Instances is the platform's instance list, which lags behind the actual
	// state.
	Instances interface {
		List(ctx context.Context) ([]Instance, error)
	}

	// Weights is the rate-limited weight store.
	Weights interface {
		// Reserve reserves a share of the read rate for bytes of an object. It
		// fails with fault.Overloaded and RetryAfter while the rate is
		// exhausted.
		Reserve(ctx context.Context, name string, bytes int64) error
	}
)
