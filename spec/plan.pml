/*
 * The planner of layer placement: two gateways, one row in the store whose
 * holder is the planner, and one target that accepts orders. A write may take
 * effect long after its sender has stopped waiting, or never; orders may be late
 * as well. No gateway relies on the clock of another: it may claim the row at
 * any moment, so that both may plan for a while.
 *
 * Checked: a gateway keeps its lease only while no other has claimed it; a lease
 * ends only by its holder or by a claim that has read it; an order takes effect
 * only on the state of the target that its sender has seen, so that a late order
 * undoes nothing; a gateway that has received a newer term sends no order.
 */

#define VERSIONS 4
#define ORDERS   3
#define NOBODY   2

/* Gateway: a claim replaces exactly the row that was read. */
/* Go: internal/plan, lease.write (Commit, Conditional). */
#ifdef MUTANT_CLAIM_BLIND
#define ROW_IS(v) true
#else
#define ROW_IS(v) (version == (v))
#endif

/* Gateway: a release deletes only the own row. */
/* Go: internal/plan, lease.release (Commit, Conditional). */
#ifdef MUTANT_RELEASE_BLIND
#define MAY_DELETE(v) (version > 0)
#else
#define MAY_DELETE(v) (version == (v))
#endif

/* Gateway: after a conflict it reads the row, and continues only if it holds it. */
/* Go: internal/plan, lease.renew and lease.adoptOwnRow. */
#ifdef MUTANT_CONFLICT_IS_OWN
#define IS_OWN(id) true
#else
#define IS_OWN(id) (holder == id)
#endif

/* Gateway: one that has received a newer term gives up its own lease. */
/* Go: internal/plan, lease.hold (otherTerm). */
#ifdef MUTANT_HEARD_IGNORED
#define OUTBID(id) false
#else
#define OUTBID(id) (heard[id] > term[id])
#endif

/* Target: an order needs the sequence of the report that it was planned from. */
/* Go: internal/plan, Planner.sendOrder (Sequence); platform, the condition of the order. */
#ifdef MUTANT_ORDER_BLIND
#define ACCEPTS(id) true
#else
#define ACCEPTS(id) (orderSequence[id] == sequence)
#endif

/* Store: the row, of version 0 when absent, and the number of writes so far. */
byte version;
byte holder = NOBODY;
byte writes;

/* Gateways: the term, which is the row version of the own lease, or 0; and the */
/* highest term received from the other. */
byte term[2];
byte heard[2];
/* The last gateway whose claim took effect, for the assertions only. */
byte last = NOBODY;

/* A write in flight: 0 none, 1 claim or renewal, 2 release; the row version that */
/* it requires; whether its sender still waits for the answer. */
byte kind[2];
byte condition[2];
bit waiting[2];

/* Target: its state (sequence) and the highest term accepted; and by gateway, the */
/* order in flight with the state that its sender saw. */
byte sequence;
bit ordered[2];
byte orderSequence[2];
byte orderTerm[2];
byte highest;
byte seenHighest[2];

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_TWO_PLANNERS
#undef REACHED
#define REACHED assert(!(term[0] > 0 && term[1] > 0))
#endif
#ifdef REACH_LATE_ORDER_REFUSED
#undef REACHED
#define REACHED assert(!(ordered[id] && highest > orderTerm[id] && !ACCEPTS(id)))
#endif

proctype Gateway(byte id)
{
  bit conflict;
end:
  do
  /* A claim: the row is read; the write takes effect below. */
  :: d_step { term[id] == 0 && kind[id] == 0 -> kind[id] = 1; condition[id] = version; waiting[id] = 1 }
  /* A renewal, and a release. */
  :: d_step { term[id] > 0 && kind[id] == 0 && !conflict -> kind[id] = 1; condition[id] = term[id]; waiting[id] = 1 }
  :: d_step { term[id] > 0 && kind[id] == 0 -> kind[id] = 2; condition[id] = term[id]; waiting[id] = 0; term[id] = 0 }
  /* The write takes effect at the store; its answer arrives or is lost. */
  :: atomic { kind[id] == 1 && writes < VERSIONS ->
      if
      :: d_step { ROW_IS(condition[id]) ->
          assert(version == condition[id]);
          writes++; version = writes; holder = id; last = id
        };
        if
        :: d_step { waiting[id] -> term[id] = version }
        :: skip
        fi
      :: d_step { !ROW_IS(condition[id]) ->
          if
          :: waiting[id] && term[id] > 0 -> conflict = 1
          :: else
          fi
        }
      fi;
      kind[id] = 0; condition[id] = 0; waiting[id] = 0
    }
  :: d_step { kind[id] == 2 ->
      if
      :: MAY_DELETE(condition[id]) -> assert(holder == id); version = 0; holder = NOBODY
      :: else
      fi;
      kind[id] = 0; condition[id] = 0
    }
  /* The sender stops waiting; the write may still take effect. */
  :: d_step { waiting[id] -> waiting[id] = 0 }
  :: d_step { kind[id] > 0 -> kind[id] = 0; condition[id] = 0; waiting[id] = 0 }
  :: d_step { conflict ->
      conflict = 0;
      if
      :: IS_OWN(id) -> assert(last == id); term[id] = version
      :: else -> term[id] = 0
      fi
    }
  /* Receipt of the state that the other gateway sends. */
  :: d_step { term[1 - id] > heard[id] -> heard[id] = term[1 - id] }
  :: d_step { term[id] > 0 && OUTBID(id) -> term[id] = 0; conflict = 0 }
  /* An order, planned from a report of the target. */
  :: d_step { term[id] > 0 && !ordered[id] && !OUTBID(id) && sequence < ORDERS ->
      assert(heard[id] <= term[id]);
      ordered[id] = 1; orderSequence[id] = sequence; orderTerm[id] = term[id]; seenHighest[id] = highest
    }
  :: d_step { ordered[id] ->
      REACHED;
      if
      :: ACCEPTS(id) ->
        assert(highest <= orderTerm[id] || seenHighest[id] == highest);
        sequence++;
        if
        :: orderTerm[id] > highest -> highest = orderTerm[id]
        :: else
        fi
      :: else
      fi;
      ordered[id] = 0; orderSequence[id] = 0; orderTerm[id] = 0; seenHighest[id] = 0
    }
  od
}

init { atomic { run Gateway(0); run Gateway(1) } }
