/*
 * Configuration: two operators write resource 0 concurrently, a third writes
 * resource 1; two processes run, and a third joins. The table may be down at any
 * time, and a write whose answer is lost may still take effect later.
 *
 * Checked: a revision never has more than one change; of concurrent writes with
 * the same expected revision at most one is accepted; an operator receives
 * Conflict only if the write is not, and never will be, in force; a process
 * applies one revision after another and has the same changes as the table; a
 * joiner is not ready at a revision below those that its reachable peers had in
 * force when it started.
 */

#define WRITERS   3
#define PROCESSES 3
#define REVISIONS 3
#define JOINER    2
/* Writes whose answer is lost, and outages of the table. */
#define LOSSES    1
#define OUTAGES   1

/* Writer: the transaction requires the head revision that it follows. */
/* Go: internal/store, Store.build (condition on the head row). */
#ifdef MUTANT_NO_HEAD_CONDITION
#define HEAD_IS(h) true
#else
#define HEAD_IS(h) (head == (h))
#endif

/* Writer: the transaction requires the resource revision that the operator read. */
/* Go: internal/store, Store.build (condition on the resource row). */
#ifdef MUTANT_NO_RESOURCE_CONDITION
#define RESOURCE_UNCHANGED(o) true
#else
#define RESOURCE_UNCHANGED(o) (resource[RESOURCE(o)] == 0)
#endif

/* Writer: after a conflict it looks for its change identifier in the change rows. */
/* Go: internal/store, Store.resolveLostAnswer, Store.confirmRefusal and Store.findChange. */
#ifdef MUTANT_NO_LOOKUP
#define FOUND(o) false
#else
#define FOUND(o) IN_FORCE(o)
#endif

/* Writer: a change is pushed only once its acceptance is known. */
/* Go: internal/store, Store.commitWithRetries and Store.applyAccepted; Sync.Run pushes what is in force. */
#ifdef MUTANT_PUSH_EARLY
#define PUSH_EARLY(h, o) pushed[(h) + 1] = (o) + 1
#else
#define PUSH_EARLY(h, o) skip
#endif

/* Receiver: a change beyond the next revision is not applied. */
/* Go: internal/store, Store.ApplyChanges and Snapshot.WithChange. */
#ifdef MUTANT_GAP
#define NO_GAP(r, p) true
#else
#define NO_GAP(r, p) ((r) <= revision[p] + 1)
#endif

/* Receiver: a change at or below the revision in force is not applied. */
/* Go: internal/store, Store.ApplyChanges and Snapshot.WithChange. */
#ifdef MUTANT_REVERT
#define HIGHER(r, p) true
#else
#define HIGHER(r, p) ((r) > revision[p])
#endif

/* Joiner: a snapshot of a peer is adopted only if it is higher. */
/* Go: internal/store, Store.ApplySnapshot. */
#ifdef MUTANT_ADOPT_LOWER
#define ADOPTS(p, q) true
#else
#define ADOPTS(p, q) (revision[q] > revision[p])
#endif

/* Joiner: while the table is down it reads from every reachable peer. */
/* Go: internal/store, Sync.Ready. */
#ifdef MUTANT_JOIN_FIRST_PEER
#define ASKED_ALL (asked[0] || asked[1])
#else
#define ASKED_ALL ((asked[0] || !reachable[0]) && (asked[1] || !reachable[1]))
#endif

/* Joiner: it is not ready before it has read the table or a peer. */
/* Go: internal/store, Sync.Ready. */
#ifdef MUTANT_JOIN_EMPTY
#define ASKED_SOME true
#else
#define ASKED_SOME (asked[0] || asked[1])
#endif

#define RESOURCE(o) ((o) / 2)
#define IN_FORCE(o) (change[1] == (o) + 1 || change[2] == (o) + 1 || change[3] == (o) + 1)
#define HAS(p, r) has[(p) * (REVISIONS + 1) + (r)]
#define MAX(x, y) ((x) > (y) -> (x) : (y))

bit up = 1;
/* Table: head revision, change row by revision, revision by resource. */
byte head;
byte change[REVISIONS + 2];
byte resource[2];
byte losses;
bit inFlight[WRITERS];
byte inFlightHead[WRITERS];

/* Pushed changes by revision; the network may delay and duplicate them. */
byte pushed[REVISIONS + 2];

bit accepted[WRITERS];
bit toldConflict[WRITERS];

/* Processes: revision in force and the changes up to it. */
byte revision[PROCESSES];
byte has[PROCESSES * (REVISIONS + 1)];
bit ready[PROCESSES];

bit reachable[2];
bit asked[2];
byte lowest;

inline commit(o, h)
{
  assert(change[h + 1] == 0);
  assert(!toldConflict[o] && !IN_FORCE(o));
  head = h + 1;
  change[h + 1] = o + 1;
  resource[RESOURCE(o)] = h + 1
}

inline accept(o)
{
  accepted[o] = 1;
  assert(!(accepted[0] && accepted[1]));
  if
  :: change[1] == o + 1 -> pushed[1] = o + 1
  :: change[2] == o + 1 -> pushed[2] = o + 1
  :: change[3] == o + 1 -> pushed[3] = o + 1
  fi
}

proctype Writer(byte o)
{
  byte h;
endRead:
  atomic { up -> h = head };
endSubmit:
  atomic {
    PUSH_EARLY(h, o);
    if
    :: up && HEAD_IS(h) && RESOURCE_UNCHANGED(o) -> commit(o, h); accept(o); goto end
    :: up && !(HEAD_IS(h) && RESOURCE_UNCHANGED(o))
    :: losses < LOSSES -> losses++; inFlight[o] = 1; inFlightHead[o] = h; goto endSubmit
    fi
  };
endLookup:
  atomic { up ->
    if
    :: FOUND(o) -> accept(o)
    :: !FOUND(o) && resource[RESOURCE(o)] != 0 ->
      toldConflict[o] = 1;
      assert(!IN_FORCE(o))
    :: !FOUND(o) && resource[RESOURCE(o)] == 0 -> goto endRead
    fi;
    h = 0
  };
end:
  skip
}

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_IN_FORCE_EVERYWHERE
#undef REACHED
#define REACHED assert(!(revision[0] == 2 && revision[1] == 2 && revision[2] == 2 && ready[2]))
#endif
#ifdef REACH_JOIN_FROM_PEERS
#undef REACHED
#define REACHED assert(!(revision[p] == 2 && ready[2] && asked[0] && asked[1]))
#endif

inline apply(p, r, c)
{
  assert(r == revision[p] + 1);
  assert(c == change[r]);
  HAS(p, r) = c;
  revision[p]++;
  REACHED
}

#define PUSH(r) d_step { ready[p] && pushed[r] && NO_GAP(r, p) && HIGHER(r, p) -> apply(p, r, pushed[r]) }

#define PULL(q) d_step { ready[p] && q != p && ready[q] && revision[q] > revision[p] -> \
    apply(p, revision[p] + 1, HAS(q, revision[p] + 1)) }

proctype Process(byte p)
{
end:
  do
  /* Poll of the table. */
  :: d_step { ready[p] && up && revision[p] < head -> apply(p, revision[p] + 1, change[revision[p] + 1]) }
  :: PUSH(1)
  :: PUSH(2)
  :: PUSH(3)
  :: PULL(0)
  :: PULL(1)
  :: PULL(2)
  od
}

inline adopt(q)
{
  asked[q] = 1;
  if
  :: ADOPTS(JOINER, q) ->
    assert(revision[q] >= revision[JOINER]);
    revision[JOINER] = revision[q];
    HAS(JOINER, 1) = HAS(q, 1);
    HAS(JOINER, 2) = HAS(q, 2);
    HAS(JOINER, 3) = HAS(q, 3)
  :: else
  fi
}

proctype Join()
{
  /* The set of reachable peers does not change while the joiner starts. */
  atomic {
    if
    :: reachable[0] = 1
    :: reachable[1] = 1
    :: reachable[0] = 1; reachable[1] = 1
    :: lowest = head
    fi;
    if
    :: reachable[0] -> lowest = MAX(lowest, revision[0])
    :: else
    fi;
    if
    :: reachable[1] -> lowest = MAX(lowest, revision[1])
    :: else
    fi
  };
end:
  do
  :: d_step { up ->
    revision[JOINER] = head;
    HAS(JOINER, 1) = change[1];
    HAS(JOINER, 2) = change[2];
    HAS(JOINER, 3) = change[3]
  } -> break
  :: d_step { !up && reachable[0] && !asked[0] -> adopt(0) }
  :: d_step { !up && reachable[1] && !asked[1] -> adopt(1) }
  :: !up && ASKED_SOME && ASKED_ALL -> break
  od;
  atomic {
    ready[JOINER] = 1;
    assert(revision[JOINER] >= lowest)
  }
}

/* A write whose answer was lost takes effect later, or is dropped by its condition. */
#define LAND(o) d_step { inFlight[o] && up -> \
    if \
    :: HEAD_IS(inFlightHead[o]) && RESOURCE_UNCHANGED(o) -> commit(o, inFlightHead[o]) \
    :: else \
    fi; \
    inFlight[o] = 0; inFlightHead[o] = 0 }

/* Lost writes take effect, and the table goes down and comes back. */
proctype Table()
{
  byte outages;
end:
  do
  :: LAND(0)
  :: LAND(1)
  :: LAND(2)
  :: d_step { up && outages < OUTAGES -> up = 0; outages++ }
  :: d_step { !up -> up = 1 }
  od
}

init
{
  atomic {
    ready[0] = 1; ready[1] = 1;
    run Writer(0); run Writer(1); run Writer(2);
    run Process(0); run Process(1); run Process(2);
    run Join(); run Table()
  }
}
