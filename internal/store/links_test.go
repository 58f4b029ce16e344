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

// member simulates a process: a store that syncs with other members over real
// links on loopback, each through a relay that can block traffic.
type member struct {
	store *store.Store
	sync  *store.Sync
	links *link.Group
	relay *relay.Relay
}

func (m *member) LinkUp(p link.Peer)                  { m.sync.LinkUp(p) }
func (m *member) Receive(p link.Peer, x wire.Message) { m.sync.Receive(p, x) }
func (m *member) LinkDown(p link.Peer, _ error)       { m.sync.LinkDown(p) }

func startMember(ctx context.Context, t *testing.T, platformURL, name string, peers ...*member) *member {
	s := store.New(plat.NewClient(platformURL).Table)
	m := &member{store: s, sync: store.NewSync(s)}
	m.links = link.NewGroup(link.Config{Timer: timer.System{}, Handler: m, Hello: func() wire.Hello {
		return wire.Hello{
			Version: wire.Version, Role: wire.RoleEntry, Instance: name, Incarnation: name, Revision: s.Snapshot().Revision,
		}
	}})
	server := httptest.NewServer(m.links.Acceptor)
	r, err := relay.Start("127.0.0.1:0", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	m.relay = r
	for _, p := range peers {
		m.links.Want(p.relay.Address())
	}
	t.Cleanup(func() {
		m.links.Stop()
		r.Close()
		server.Close()
	})
	go func() { _ = s.Run(ctx) }()
	go func() { _ = m.sync.Run(ctx) }()
	return m
}

// Guards against a change that takes more than 7 s to reach every process, or
// is reverted, when two links stop delivering, the table goes down after the
// write and a new process joins.
func TestConfigurationSpreadsOverLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	platform := fplat.New(timer.System{})
	server := httptest.NewServer(platform)
	defer server.Close()
	a := startMember(ctx, t, server.URL, "a")
	b := startMember(ctx, t, server.URL, "b", a)
	c := startMember(ctx, t, server.URL, "c", b)
	write := func(revision uint64) {
		_, err := a.store.Put(ctx, store.Write{Kind: resrc.KindService, Name: fmt.Sprint("app-", revision), Spec: resrc.Service{}})
		is.NoErr(err)
	}
	waitForRevision := func(revision uint64, members ...*member) {
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
	waitForRevision(1, a, b, c)
	a.relay.Silence()
	b.relay.Silence()
	write(2)
	platform.SetFaults(fplat.Faults{Outage: true})
	waitForRevision(2, a, b, c)
	d := startMember(ctx, t, server.URL, "d", c)
	is.True(!d.sync.Ready())
	waitForRevision(2, d)
	for start := time.Now(); !d.sync.Ready(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 7*time.Second {
			t.Fatal("the new process is not ready after 7 s")
		}
	}
	is.Equal(d.store.Snapshot().Revision, uint64(2))
	is.Equal(len(d.store.Snapshot().List(resrc.KindService)), 2)
}
