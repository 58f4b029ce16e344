package store

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"shallotcourse/internal/link"
	"shallotcourse/internal/wire"
)

const (
	// pullTimeout is the time after which an unanswered Pull may be sent again.
	pullTimeout = time.Second
	// maxPushChanges bounds the changes in one message. A peer that lacks more
	// gets a snapshot, which it applies at less cost.
	maxPushChanges = 256
	// linkGracePeriod is how long a new process waits for its first links while
	// the table is down. It covers a dial and a hello to an unresponsive peer,
	// whose link is closed after 1 s.
	linkGracePeriod = 3 * time.Second
)

type (
	// Sync exchanges changes with linked peers, so that changes also reach
	// processes that cannot read the table.
	Sync struct {
		store *Store

		mu    sync.Mutex
		peers map[link.Peer]*peerState
		// started is the time of NewSync.
		started time.Time
	}

	peerState struct {
		// revision is the highest revision that the peer is known to have.
		revision uint64
		// pullSent is the time of the last Pull; zero once an answer to it has
		// raised the revision here.
		pullSent time.Time
	}

	// PeerRevision is the highest revision that a linked peer is known to have.
	PeerRevision struct {
		Hello    wire.Hello
		Revision uint64
	}
)

// NewSync returns a Sync for a store, without peers.
func NewSync(s *Store) *Sync {
	return &Sync{store: s, peers: map[link.Peer]*peerState{}, started: s.clock.Now()}
}

// Run pushes each new revision to the peers that are behind, until the
// context ends.
func (y *Sync) Run(ctx context.Context) error {
	_, seen := y.store.section.Get()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-y.store.section.Changed(seen):
		}
		_, seen = y.store.section.Get()
		y.pushAll()
	}
}

func (y *Sync) pushAll() {
	for _, p := range y.peersBehind() {
		y.pushTo(p)
	}
}

// LinkUp adds a peer, and pulls from it when its revision is higher.
func (y *Sync) LinkUp(p link.Peer) {
	y.mu.Lock()
	y.peers[p] = &peerState{}
	y.mu.Unlock()
	y.recordRevision(p, p.Hello().Revision)
}

// LinkDown removes a peer.
func (y *Sync) LinkDown(p link.Peer) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.peers, p)
}

// Receive handles a message that concerns the configuration. It returns false
// for other messages.
func (y *Sync) Receive(p link.Peer, m wire.Message) bool {
	switch m := m.(type) {
	case wire.Heartbeat:
		y.recordRevision(p, m.Revision)
	case wire.Pull:
		y.answerPull(p, m.Since)
	case wire.Changes:
		if len(m.Changes) > 0 {
			y.applyFromPeer(p, func() { y.store.ApplyChanges(m.Changes) })
			y.recordRevision(p, m.Changes[len(m.Changes)-1].Revision)
		}
	case wire.Snapshot:
		y.applyFromPeer(p, func() { y.applySnapshot(m) })
		y.recordRevision(p, m.Revision)
	default:
		return false
	}
	return true
}

// Peers returns the linked peers with their revisions, sorted by instance name.
func (y *Sync) Peers() []PeerRevision {
	y.mu.Lock()
	defer y.mu.Unlock()
	out := make([]PeerRevision, 0, len(y.peers))
	for p, state := range y.peers {
		out = append(out, PeerRevision{Hello: p.Hello(), Revision: state.revision})
	}
	slices.SortFunc(out, func(a, b PeerRevision) int { return cmp.Compare(a.Hello.Instance, b.Hello.Instance) })
	return out
}

// Ready reports whether the process may serve with its configuration. It may once
// a read of the table has succeeded. If none has, it may after linkGracePeriod,
// when its configuration is at least as new as that of every linked peer. Without
// peers it may not, since a newer configuration may exist.
func (y *Sync) Ready() bool {
	h := y.store.health.Value()
	if h.Read {
		return true
	}
	if !h.Tried || y.store.clock.Now().Sub(y.started) < linkGracePeriod {
		return false
	}
	revision := y.store.Snapshot().Revision
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, state := range y.peers {
		if state.revision > revision {
			return false
		}
	}
	return len(y.peers) > 0 && revision > 0
}

// recordRevision records the revision of a peer. It sends a Pull when that is
// higher than the local one and no earlier Pull is pending.
func (y *Sync) recordRevision(p link.Peer, revision uint64) {
	now, local := y.store.clock.Now(), y.store.Snapshot().Revision
	y.mu.Lock()
	state, ok := y.peers[p]
	if !ok {
		y.mu.Unlock()
		return
	}
	state.revision = max(state.revision, revision)
	waiting := !state.pullSent.IsZero() && now.Sub(state.pullSent) < pullTimeout
	pull := state.revision > local && !waiting
	if pull {
		state.pullSent = now
	}
	y.mu.Unlock()
	if pull {
		y.send(p, wire.Pull{Since: local})
	}
}

// applyFromPeer applies changes or a snapshot of a peer. Only if that raised
// the local revision may the next Pull be sent at once; otherwise a peer whose
// changes cannot be applied here would be pulled from in a tight loop.
func (y *Sync) applyFromPeer(p link.Peer, apply func()) {
	before := y.store.Snapshot().Revision
	apply()
	if y.store.Snapshot().Revision == before {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	if state, ok := y.peers[p]; ok {
		state.pullSent = time.Time{}
	}
}

// peersBehind returns the peers that are not known to have the local revision.
func (y *Sync) peersBehind() []link.Peer {
	local := y.store.Snapshot().Revision
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []link.Peer
	for p, state := range y.peers {
		if state.revision < local {
			out = append(out, p)
		}
	}
	return out
}

// pushTo sends a peer the changes that it lacks, unless they are too many for
// one message; that peer pulls after the next heartbeat.
func (y *Sync) pushTo(p link.Peer) {
	y.mu.Lock()
	state, ok := y.peers[p]
	var since uint64
	if ok {
		since = state.revision
	}
	y.mu.Unlock()
	changes, complete := y.store.ChangesSince(since)
	if !ok || !complete || len(changes) == 0 || len(changes) > maxPushChanges {
		return
	}
	y.send(p, wire.Changes{Changes: changes})
}

// answerPull answers a Pull with changes, or with a snapshot when the change
// log does not reach back far enough or the changes are too many.
func (y *Sync) answerPull(p link.Peer, since uint64) {
	if changes, ok := y.store.ChangesSince(since); ok && len(changes) <= maxPushChanges {
		y.send(p, wire.Changes{Changes: changes})
		return
	}
	m, err := encodeSnapshot(y.store.Snapshot())
	if err != nil {
		_ = level.Error(y.store.log).Log("msg", "cannot encode snapshot for peer", "err", err)
		return
	}
	y.send(p, m)
}

// applySnapshot applies a snapshot of a peer if it can be decoded.
func (y *Sync) applySnapshot(m wire.Snapshot) {
	snapshot, err := decodeSnapshot(m)
	if err != nil {
		_ = level.Warn(y.store.log).Log("msg", "cannot decode snapshot from peer", "err", err)
		return
	}
	y.store.ApplySnapshot(snapshot)
}

func (y *Sync) send(p link.Peer, m wire.Message) {
	if err := p.Send(m); err != nil {
		_ = level.Debug(y.store.log).Log("msg", "cannot send configuration to peer", "peer", p.Hello().Instance, "err", err)
	}
}
