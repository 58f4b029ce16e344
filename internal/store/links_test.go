package store_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"shallotcourse/internal/fakes/fplat"
	"shallotcourse/internal/fakes/relay"
	"shallotcourse/internal/link"
	"shallotcourse/internal/plat"
	"shallotcourse/internal/store"
	"shallotcourse/internal/timer"
	"shallotcourse/internal/wire"
	"shallotcourse/pkg/resrc"
)

// member is a process with its store, on links over loopback.
type member struct {
	store *store.Store
	sync  *store.Sync
	group *link.Group
	relay *relay.Relay
}

func (m *member) LinkUp(p link.Peer)                  { m.sync.LinkUp(p) }
func (m *member) Receive(p link.Peer, x wire.Message) { m.sync.Receive(p, x) }
func (m *member) LinkDown(p link.Peer, _ error)       { m.sync.LinkDown(p) }

func join(ctx context.Context, t *testing.T, platformURL, name string, peers ...*member) *member {
	s := store.New(plat.NewClient(platformURL).Table)
	m := &member{store: s, sync: store.NewSync(s)}
	m.group = link.NewGroup(link.Config{Timer: timer.System{}, Handler: m, Hello: func() wire.Hello {
		return wire.Hello{
			Version: wire.Version, Role: wire.RoleEntry, Instance: name, Incarnation: name, Revision: s.Snapshot().Revision,
		}
	}})
	server := httptest.NewServer(m.group.Acceptor)
	r, err := relay.Start("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	m.relay = r
	for _, p := range peers {
		m.group.Want(p.relay.Address())
	}
	t.Cleanup(func() {
		m.group.Stop()
		r.Close()
		server.Close()
	})
	go func() { _ = s.Run(ctx) }()
	go func() { _ = m.sync.Run(ctx) }()
	return m
}

// Guards against a change that is not in force everywhere within 7 s, or that
// reverts, while the table goes down after the write, links fall silent, and
// a process joins.
func TestConfigurationSpreadsOverLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := fplat.New(timer.System{})
	server := httptest.NewServer(platform)
	defer server.Close()
	a := join(ctx, t, server.URL, "a")
	b := join(ctx, t, server.URL, "b", a)
	c := join(ctx, t, server.URL, "c", b)
	write := func(revision uint64) {
		_, err := a.store.Put(ctx, store.Write{Kind: resrc.KindService, Name: fmt.Sprint("app-", revision), Spec: resrc.Service{}})
		is.NoErr(err)
	}
	reach := func(revision uint64, members ...*member) {
		start := time.Now()
		for _, m := range members {
			for m.store.Snapshot().Revision < revision {
				if time.Since(start) > 7*time.Second {
					t.Fatalf("revision %d is not in force after 7 s", revision)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		t.Logf("revision %d in force after %v", revision, time.Since(start))
	}
	write(1)
	reach(1, a, b, c)
	a.relay.Silence()
	b.relay.Silence()
	write(2)
	platform.SetFaults(fplat.Faults{Outage: true})
	reach(2, a, b, c)
	d := join(ctx, t, server.URL, "d", c)
	is.True(!d.sync.Ready())
	reach(2, d)
	for start := time.Now(); !d.sync.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 7*time.Second {
			t.Fatal("the joiner is not ready")
		}
	}
	is.Equal(d.store.Snapshot().Revision, uint64(2))
	is.Equal(len(d.store.Snapshot().List(resrc.KindService)), 2)
}
