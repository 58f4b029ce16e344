/*
 * The planner's lease in a store that comes back from an older copy. The store
 * counts its writes in one number; a restore takes the row and the number back, and
 * numbers are given out again with the next era. Two gateways claim the row, renew
 * it and write it again after a restore. Writes may be late, and each gateway hears
 * the term of the other.
 *
 * Checked: a write that counts as done has replaced the row that was read; of two
 * gateways that hold a lease, the one whose row is in the store has the newer term,
 * so that the other gives up when it hears of it; a holder does not replace a claim
 * made after the restore.
 */

#define WRITES   3
#define RESTORES 2
#define NOBODY   2

/* Gateway: terms are ordered by the era of the store, then by the number. */
/* Go: internal/topo, Version.Compare; internal/peers, Peers.receivePlannerUpdate. */
#ifdef MUTANT_TERM_WITHOUT_ERA
#define NEWER(e1, n1, e2, n2) ((n1) > (n2))
#else
#define NEWER(e1, n1, e2, n2) ((e1) > (e2) || (e1) == (e2) && (n1) > (n2))
#endif

/* Store client: a conditional write that was done in another era than that of the */
/* condition does not count as done. */
/* Go: platform, Store.Commit (staleCondition). */
#ifdef MUTANT_CONDITION_WITHOUT_ERA
#define CONDITION_ERA(id) true
#else
#define CONDITION_ERA(id) (conditionEra[id] == era)
#endif

/* Gateway: a row of the present era that names another holder is its claim. */
/* Go: internal/plan, lease.restore (leaseRow.Era). */
#ifdef MUTANT_CLAIM_REPLACED
#define CLAIMED(id) false
#else
#define CLAIMED(id) (holder != id && holder != NOBODY && rowEra == era)
#endif

/* Store: the era, the number of writes, the lease row (its number, holder and the */
/* era that its writer named), and a copy of all that. */
byte era = 1;
byte number;
byte row;
byte holder = NOBODY;
byte rowEra;
byte stamp;
byte copyNumber;
byte copyRow;
byte copyHolder = NOBODY;
byte copyRowEra;
byte copyStamp;
/* Identity of the row's content, for the assertions only. */
byte stamps;

/* Gateways: the own term (0 is none), the newest term heard, and the row that was */
/* read for a write in progress. */
byte termEra[2];
byte term[2];
byte heardEra[2];
byte heard[2];
bit writing[2];
byte conditionEra[2];
byte condition[2];
byte conditionStamp[2];

byte restores;

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_COPY_REPLACED
#undef REACHED
#define REACHED assert(!(era > 1 && rowEra < era && holder == 1 - id))
#endif
#ifdef REACH_SECOND_RESTORE
#undef REACHED
#define REACHED assert(!(era == 3))
#endif
proctype Gateway(byte id)
{
end:
  do
  /* A claim of a gateway without the lease, a renewal, and the first write of a */
  /* holder after a restore read the row and write it under a condition. */
  :: d_step { !writing[id] && term[id] == 0 && !NEWER(heardEra[id], heard[id], era, row) ->
      writing[id] = 1; conditionEra[id] = era; condition[id] = row; conditionStamp[id] = stamp
    }
  :: d_step { !writing[id] && term[id] > 0 && termEra[id] == era ->
      writing[id] = 1; conditionEra[id] = termEra[id]; condition[id] = term[id]; conditionStamp[id] = stamp
    }
  :: d_step { !writing[id] && term[id] > 0 && termEra[id] < era ->
      if
      :: CLAIMED(id) -> term[id] = 0; termEra[id] = 0
      :: else ->
        assert(holder == id || rowEra < era || holder == NOBODY);
        writing[id] = 1; conditionEra[id] = era; condition[id] = row; conditionStamp[id] = stamp
      fi
    }
  /* The write arrives at the store, which knows numbers only. */
  :: d_step { writing[id] && number < WRITES ->
      if
      :: row == condition[id] ->
        if
        :: CONDITION_ERA(id) ->
          assert(stamp == conditionStamp[id]);
          number++; term[id] = number; termEra[id] = era; REACHED; rowEra = era
        :: else -> number++; rowEra = conditionEra[id]; term[id] = 0; termEra[id] = 0
        fi;
        stamps++; row = number; holder = id; stamp = stamps
      :: else -> term[id] = 0; termEra[id] = 0
      fi;
      writing[id] = 0; condition[id] = 0; conditionEra[id] = 0; conditionStamp[id] = 0
    }
  :: d_step { writing[id] -> writing[id] = 0; condition[id] = 0; conditionEra[id] = 0; conditionStamp[id] = 0 }
  /* Receipt of the other's state; a newer term ends the own lease. */
  :: d_step { term[1 - id] > 0 && NEWER(termEra[1 - id], term[1 - id], heardEra[id], heard[id]) ->
      heardEra[id] = termEra[1 - id]; heard[id] = term[1 - id];
      if
      :: term[id] > 0 && NEWER(heardEra[id], heard[id], termEra[id], term[id]) -> term[id] = 0; termEra[id] = 0
      :: else
      fi
    }
  /* A holder of the row of the present era is followed by whoever hears it. */
  :: d_step { term[id] > 0 && termEra[id] == era && row == term[id] && holder == id && term[1 - id] > 0 ->
      assert(NEWER(termEra[id], term[id], termEra[1 - id], term[1 - id]))
    }
  od
}

proctype Store()
{
end:
  do
  :: d_step { number < WRITES -> number++ }
  :: d_step { copyNumber < number && restores < RESTORES ->
      copyNumber = number; copyRow = row; copyHolder = holder; copyRowEra = rowEra; copyStamp = stamp
    }
  :: d_step { restores < RESTORES && number > copyNumber ->
      restores++; era++; number = copyNumber; row = copyRow; holder = copyHolder; rowEra = copyRowEra; stamp = copyStamp
    }
  od
}

init { atomic { run Gateway(0); run Gateway(1); run Store() } }
