package entry

import (
	"context"
	"slices"
	"sync"

	"shallotcourse/internal/fault"
	"shallotcourse/internal/plat"
)

const (
	// maxBatchRows and maxBatchBytes bound one transaction. The table accepts
	// only a few hundred writes per second, so the writes of several claims
	// share a transaction.
	maxBatchRows  = 16
	maxBatchBytes = 256 << 10
	// maxOpenBatches bounds the transactions in progress. Writes that arrive
	// meanwhile wait for the next batch, so batches grow with the load.
	maxOpenBatches = 4
)

type (
	// batcher groups conditional writes of single rows into transactions.
	batcher struct {
		table  plat.Table
		writes chan *rowWrite
		// slots holds a value for each further transaction that may start.
		slots chan struct{}
		wg    sync.WaitGroup
	}

	// rowWrite is the conditional write of one row.
	rowWrite struct {
		// ctx ends when the caller stops waiting; a write that has not been
		// sent by then is omitted.
		ctx       context.Context
		condition plat.Condition
		write     plat.Write
		done      chan error
	}
)

func newBatcher(t plat.Table) *batcher {
	b := &batcher{table: t, writes: make(chan *rowWrite, 4*maxBatchRows), slots: make(chan struct{}, maxOpenBatches)}
	for range maxOpenBatches {
		b.slots <- struct{}{}
	}
	return b
}

// commit writes one row if its version matches. After a failure other than
// Conflict it is unknown whether the write was applied.
func (b *batcher) commit(ctx context.Context, key string, version uint64, value []byte) error {
	i := &rowWrite{
		ctx:       ctx,
		condition: plat.Condition{Key: key, Version: version},
		write:     plat.Write{Key: key, Value: value},
		done:      make(chan error, 1),
	}
	unknown := fault.New(fault.Unavailable, "write was canceled before its result was known").WithOutcome(fault.Unknown)
	select {
	case b.writes <- i:
	case <-ctx.Done():
		return unknown
	}
	select {
	case err := <-i.done:
		return err
	case <-ctx.Done():
		return unknown
	}
}

// run commits batches until ctx ends.
func (b *batcher) run(ctx context.Context) {
	defer b.wg.Wait()
	var next *rowWrite
	for {
		select {
		case <-b.slots:
		case <-ctx.Done():
			return
		}
		first := next
		next = nil
		if first == nil {
			select {
			case first = <-b.writes:
			case <-ctx.Done():
				return
			}
		}
		var batch []*rowWrite
		batch, next = b.collect(first)
		b.wg.Go(func() {
			defer func() { b.slots <- struct{}{} }()
			b.commitBatch(ctx, batch)
		})
	}
}

// collect adds the writes that are already waiting to the batch, up to the
// bounds. A write that exceeds maxBatchBytes or repeats a key is returned as
// next, and starts the next batch.
func (b *batcher) collect(first *rowWrite) (batch []*rowWrite, next *rowWrite) {
	batch = []*rowWrite{first}
	keys, size := map[string]bool{first.write.Key: true}, len(first.write.Value)
	for len(batch) < maxBatchRows {
		select {
		case i := <-b.writes:
			size += len(i.write.Value)
			if keys[i.write.Key] || size > maxBatchBytes {
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

// commitBatch commits a batch. If one condition fails, the table refuses the
// entire transaction; its rows are then written one by one.
func (b *batcher) commitBatch(ctx context.Context, batch []*rowWrite) {
	batch = slices.DeleteFunc(batch, func(i *rowWrite) bool { return i.ctx.Err() != nil })
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
			b.commitBatch(ctx, []*rowWrite{i})
		}
		return
	}
	for _, i := range batch {
		i.done <- err
	}
}
