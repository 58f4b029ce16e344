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
	// pullTimeout is the time after which an unanswered Pull is repeated.
	pullTimeout = time.Second
	// maxPushChanges bounds the changes in one message. A peer that lacks more
	// gets the whole configuration, which costs it less to apply.
	maxPushChanges = 256
	// settleTime is how long a new process waits for its first links while
	// the table is down. It covers a dial and a hello to a silent peer, which
	// the link closes after 1 s.
	settleTime = 3 * time.Second
)

type (
	// Sync exchanges changes with the peers on this process's links, so that
	// they spread while the table is down.
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
		// pulled is the time of the Pull that was not answered yet.
		pulled time.Time
	}

	// PeerRevision is what is known of one peer.
	PeerRevision struct {
		Hello    wire.Hello
		Revision uint64
	}
)

// NewSync returns the exchange for a store.
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
	for _, p := range y.behind() {
		y.push(p)
	}
}

// LinkUp takes note of a peer. The side with the lower revision pulls.
func (y *Sync) LinkUp(p link.Peer) {
	y.mu.Lock()
	y.peers[p] = &peerState{}
	y.mu.Unlock()
	y.heard(p, p.Hello().Revision)
}

// LinkDown forgets a peer.
func (y *Sync) LinkDown(p link.Peer) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.peers, p)
}

// Receive handles a message about the configuration. It returns false for
// all other messages.
func (y *Sync) Receive(p link.Peer, m wire.Message) bool {
	switch m := m.(type) {
	case wire.Heartbeat:
		y.heard(p, m.Revision)
	case wire.Pull:
		y.answer(p, m.Since)
	case wire.Changes:
		if len(m.Changes) > 0 {
			y.progress(p, func() { y.store.ApplyChanges(m.Changes) })
			y.heard(p, m.Changes[len(m.Changes)-1].Revision)
		}
	case wire.Snapshot:
		y.progress(p, func() { y.adopt(m) })
		y.heard(p, m.Revision)
	default:
		return false
	}
	return true
}

// Peers returns the linked peers with their revisions, in order of name.
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

// Ready reports whether the configuration was read from the table or, while
// the table is down, from every reachable peer. Without the table and without
// any peer nothing is known, and the process stays unready.
func (y *Sync) Ready() bool {
	h := y.store.health.Value()
	if h.Read {
		return true
	}
	if !h.Tried || y.store.clock.Now().Sub(y.started) < settleTime {
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

// heard records the revision of a peer and pulls when it is higher than ours.
func (y *Sync) heard(p link.Peer, revision uint64) {
	now, ours := y.store.clock.Now(), y.store.Snapshot().Revision
	y.mu.Lock()
	state, ok := y.peers[p]
	if !ok {
		y.mu.Unlock()
		return
	}
	state.revision = max(state.revision, revision)
	waiting := !state.pulled.IsZero() && now.Sub(state.pulled) < pullTimeout
	pull := state.revision > ours && !waiting
	if pull {
		state.pulled = now
	}
	y.mu.Unlock()
	if pull {
		y.send(p, wire.Pull{Since: ours})
	}
}

// progress applies what a peer sent. The next Pull goes out at once only if
// the revision grew; otherwise a peer whose changes don't apply here would be
// asked for them without a pause.
func (y *Sync) progress(p link.Peer, apply func()) {
	before := y.store.Snapshot().Revision
	apply()
	if y.store.Snapshot().Revision == before {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	if state, ok := y.peers[p]; ok {
		state.pulled = time.Time{}
	}
}

// behind returns the peers that are not known to have our revision.
func (y *Sync) behind() []link.Peer {
	ours := y.store.Snapshot().Revision
	y.mu.Lock()
	defer y.mu.Unlock()
	var out []link.Peer
	for p, state := range y.peers {
		if state.revision < ours {
			out = append(out, p)
		}
	}
	return out
}

// push sends the changes that the peer lacks. A peer that is far behind pulls
// after the next heartbeat.
func (y *Sync) push(p link.Peer) {
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

// answer replies to a Pull with changes, or with the whole configuration when
// the log does not reach back.
func (y *Sync) answer(p link.Peer, since uint64) {
	if changes, ok := y.store.ChangesSince(since); ok && len(changes) <= maxPushChanges {
		y.send(p, wire.Changes{Changes: changes})
		return
	}
	m, err := encodeSnapshot(y.store.Snapshot())
	if err != nil {
		_ = level.Error(y.store.log).Log("msg", "cannot encode the configuration for a peer", "err", err)
		return
	}
	y.send(p, m)
}

// adopt applies a peer's whole configuration if it decodes.
func (y *Sync) adopt(m wire.Snapshot) {
	snapshot, err := decodeSnapshot(m)
	if err != nil {
		_ = level.Warn(y.store.log).Log("msg", "a peer sent a configuration that does not decode", "err", err)
		return
	}
	y.store.ApplySnapshot(snapshot)
}

func (y *Sync) send(p link.Peer, m wire.Message) {
	if err := p.Send(m); err != nil {
		_ = level.Debug(y.store.log).Log("msg", "cannot send to a peer", "peer", p.Hello().Instance, "err", err)
	}
}
