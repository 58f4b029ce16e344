package budget

import (
	"bytes"
	"context"
	"io"
)

// firstBlockBytes is the size of the first block of a body of unknown length. The next
// blocks are twice as long each, up to SmallBytes.
const firstBlockBytes = 4 << 10

type (
	// Body is a body in memory, as the blocks in which it was read. The blocks do not
	// change, so any number of readers may read them.
	Body struct {
		claim  *Claim
		blocks [][]byte
		size   int64
		// claimed is what the claim holds for the blocks.
		claimed int64
	}

	// blockReader reads blocks. It has the methods of io.Reader and io.WriterTo.
	blockReader struct {
		// blocks holds what is left; none of them is empty.
		blocks [][]byte
	}
)

// ReadBody reads a body up to its end or up to limit bytes. Each block is claimed by
// the context's claim before it is read. The length is the announced one, or negative if
// that is not known. If the claim does not grow, or has given way meanwhile, the failure
// is Overloaded with outcome NotRun; other errors are those of the reader. After an error
// nothing is held.
func ReadBody(ctx context.Context, r io.Reader, length, limit int64) (*Body, error) {
	b := &Body{claim: FromContext(ctx)}
	for b.size < limit {
		n := b.nextBlock(length, limit)
		if err := b.claim.Grow(ctx, n); err != nil {
			b.Release()
			return nil, err
		}
		b.claimed += n
		err := b.readBlock(r, n)
		if err == io.EOF {
			return b, nil
		}
		if err != nil {
			b.Release()
			if failure := b.claim.gaveWay(); failure != nil {
				return nil, failure.WithCause(err)
			}
			return nil, err
		}
	}
	return b, nil
}

// nextBlock returns the size of the next block.
func (b *Body) nextBlock(length, limit int64) int64 {
	n := int64(firstBlockBytes) << min(len(b.blocks), 4)
	if length > b.size {
		n = length - b.size
	} else if length >= 0 {
		// Only the end of the body is still to come.
		n = 1
	}
	return min(n, SmallBytes, limit-b.size)
}

// readBlock reads a block until it is full or the body ends.
func (b *Body) readBlock(r io.Reader, n int64) error {
	block := make([]byte, n)
	filled := 0
	var err error
	for filled < len(block) && err == nil {
		var more int
		more, err = r.Read(block[filled:])
		filled += more
		if more > 0 {
			b.claim.Progress()
		}
	}
	if filled > 0 {
		b.blocks = append(b.blocks, block[:filled])
		b.size += int64(filled)
	}
	return err
}

// Len returns the size of the body; 0 if it is nil.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Reader returns a reader of the whole body, which copies nothing beforehand.
func (b *Body) Reader() io.Reader {
	if len(b.blocks) == 1 {
		return bytes.NewReader(b.blocks[0])
	}
	return &blockReader{blocks: append([][]byte(nil), b.blocks...)}
}

// Join returns the body in one piece. If it has several blocks, they are copied, and the
// copy takes their place; both are claimed meanwhile.
func (b *Body) Join(ctx context.Context) ([]byte, error) {
	if len(b.blocks) == 0 {
		return nil, nil
	}
	if len(b.blocks) == 1 {
		return b.blocks[0], nil
	}
	if err := b.claim.Grow(ctx, b.size); err != nil {
		return nil, err
	}
	whole := make([]byte, 0, b.size)
	for _, block := range b.blocks {
		whole = append(whole, block...)
	}
	b.blocks = [][]byte{whole}
	b.claim.Shrink(b.claimed)
	b.claimed = b.size
	return whole, nil
}

// Release gives the memory of the body back to the claim. Its readers stay valid, since
// a send that is being abandoned may read a little longer.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.claim.Shrink(b.claimed)
	b.claimed = 0
}

// Read implements io.Reader.
func (r *blockReader) Read(p []byte) (int, error) {
	if len(r.blocks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.blocks[0])
	if r.blocks[0] = r.blocks[0][n:]; len(r.blocks[0]) == 0 {
		r.blocks = r.blocks[1:]
	}
	return n, nil
}

// WriteTo implements io.WriterTo.
func (r *blockReader) WriteTo(w io.Writer) (int64, error) {
	sum := int64(0)
	for len(r.blocks) > 0 {
		n, err := w.Write(r.blocks[0])
		sum += int64(n)
		if r.blocks[0] = r.blocks[0][n:]; len(r.blocks[0]) == 0 {
			r.blocks = r.blocks[1:]
		}
		if err != nil {
			return sum, err
		}
	}
	return sum, nil
}
