package entry

import (
	"context"
	"slices"
	"sync"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
)

const (
	// batchRows and batchBytes bound one transaction. The table accepts a few
	// hundred writes a second, so claims share transactions.
	batchRows  = 16
	batchBytes = 256 << 10
	// batchesAtOnce bounds the transactions in progress. While they run, the
	// next claims gather, so batches grow with the load.
	batchesAtOnce = 4
)

type (
	// batcher groups conditional writes of single rows into transactions.
	batcher struct {
		table plat.Table
		items chan *item
		// free holds a value for each transaction that may start.
		free chan struct{}
		wg   sync.WaitGroup
	}

	item struct {
		// ctx ends when the writer gives up; the write is then left out.
		ctx       context.Context
		condition plat.Condition
		write     plat.Write
		done      chan error
	}
)

func newBatcher(t plat.Table) *batcher {
	b := &batcher{table: t, items: make(chan *item, 4*batchRows), free: make(chan struct{}, batchesAtOnce)}
	for range batchesAtOnce {
		b.free <- struct{}{}
	}
	return b
}

// commit writes one row if it has the version. A failure other than Conflict
// leaves the outcome unknown.
func (b *batcher) commit(ctx context.Context, key string, version uint64, value []byte) error {
	i := &item{
		ctx:       ctx,
		condition: plat.Condition{Key: key, Version: version},
		write:     plat.Write{Key: key, Value: value},
		done:      make(chan error, 1),
	}
	lost := fault.New(fault.Unavailable, "write was given up").WithOutcome(fault.Unknown)
	select {
	case b.items <- i:
	case <-ctx.Done():
		return lost
	}
	select {
	case err := <-i.done:
		return err
	case <-ctx.Done():
		return lost
	}
}

func (b *batcher) run(ctx context.Context) {
	defer b.wg.Wait()
	var held *item
	for {
		select {
		case <-b.free:
		case <-ctx.Done():
			return
		}
		first := held
		held = nil
		if first == nil {
			select {
			case first = <-b.items:
			case <-ctx.Done():
				return
			}
		}
		var batch []*item
		batch, held = b.gather(first)
		b.wg.Go(func() {
			defer func() { b.free <- struct{}{} }()
			b.apply(ctx, batch)
		})
	}
}

// gather takes what waits already, up to the bounds. It returns the item that
// does not fit, which starts the next batch.
func (b *batcher) gather(first *item) (batch []*item, held *item) {
	batch = []*item{first}
	keys, size := map[string]bool{first.write.Key: true}, len(first.write.Value)
	for len(batch) < batchRows {
		select {
		case i := <-b.items:
			size += len(i.write.Value)
			if keys[i.write.Key] || size > batchBytes {
				return batch, i
			}
			keys[i.write.Key] = true
			batch = append(batch, i)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// apply commits a batch. One refused condition refuses the transaction as a
// whole, so its rows are then written one by one.
func (b *batcher) apply(ctx context.Context, batch []*item) {
	batch = slices.DeleteFunc(batch, func(i *item) bool { return i.ctx.Err() != nil })
	if len(batch) == 0 {
		return
	}
	var t plat.Txn
	for _, i := range batch {
		t.Conditions = append(t.Conditions, i.condition)
		t.Writes = append(t.Writes, i.write)
	}
	err := b.table.Commit(ctx, t)
	if len(batch) > 1 && (fault.Is(err, fault.Conflict) || fault.Is(err, fault.TooLarge)) {
		for _, i := range batch {
			b.apply(ctx, []*item{i})
		}
		return
	}
	for _, i := range batch {
		i.done <- err
	}
}
