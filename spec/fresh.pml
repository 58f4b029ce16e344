/*
 * Freshness of the configuration at two gateways. Both read it from the store;
 * while the store does not answer, the first sends a sync request to the second,
 * which answers with its version and the age of its confirmation: the time since
 * that version was last known to be the newest. Answers may arrive late or never.
 * Time passes in ticks, and a gateway may be suspended for some of them.
 *
 * Checked: a gateway acts on a version only while its confirmation is not older
 * than LIFE, and then at most LIFE after the version was replaced; the version in
 * force at a gateway never decreases.
 */

#define LIFE     1
#define TICKS    4
#define VERSIONS 2
#define NEVER    255

/* Gateway: a version read from the store is confirmed as of the time before the request. */
/* Go: internal/follow, Configs.Run (requestedAt). */
#ifdef MUTANT_PROOF_FROM_ANSWER
#define READ_PROOF(id) clock[id]
#else
#define READ_PROOF(id) asked[id]
#endif

/* Gateway: the age in a sync response counts from the time before the sync request. */
/* Go: internal/peers, Peers.receiveSyncResponse. */
#ifdef MUTANT_VOUCH_FROM_ANSWER
#define VOUCH_PROOF(id) (clock[id] - vouchAge[id])
#else
#define VOUCH_PROOF(id) (vouchAt[id] - vouchAge[id])
#endif

/* Gateway: a lower version is not adopted. */
/* Go: internal/follow, Configs.apply. */
#ifdef MUTANT_ADOPT_LOWER
#define HIGHER(v, id) ((v) != version[id])
#else
#define HIGHER(v, id) ((v) > version[id])
#endif

/* Gateway: its clock also advances while it is suspended. */
/* Go: internal/cmds, bootClock (CLOCK_BOOTTIME). */
#ifdef MUTANT_CLOCK_STOPS
#define SUSPENDED(id) if :: clock[id]++ :: skip fi
#else
#define SUSPENDED(id) clock[id]++
#endif

#define MAX(x, y) ((x) > (y) -> (x) : (y))

/* True time. It and the clocks start at TICKS, so that subtracted ages stay positive. */
byte now = TICKS;
/* The newest version in the store, and when each version was replaced. */
byte newest = 1;
byte replaced[VERSIONS + 2] = NEVER;

byte clock[2] = TICKS;
byte version[2];
byte proof[2];
/* A read of the store: the time of the request, and the version answered or 0. */
byte asked[2];
byte answer[2];
/* A sync request to the other gateway: when it was sent, and its response. */
byte vouchAt[2];
byte vouchVersion[2];
byte vouchAge[2];

#define ADOPT(id, v, p) \
  if \
  :: HIGHER(v, id) -> assert((v) > version[id]); version[id] = v; proof[id] = MAX(proof[id], p) \
  :: else -> \
    if \
    :: (v) == version[id] -> proof[id] = MAX(proof[id], p) \
    :: else \
    fi \
  fi

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_VOUCHED_NEWER
#undef REACHED
#define REACHED assert(!(vouchVersion[id] > version[id] && version[id] > 0))
#endif
#ifdef REACH_VOUCHED_SAME
#undef REACHED
#define REACHED assert(!(vouchVersion[id] == version[id] && VOUCH_PROOF(id) > proof[id]))
#endif

proctype Gateway(byte id)
{
end:
  do
  :: d_step { asked[id] == 0 -> asked[id] = clock[id] }
  /* The store reads its answer now; the answer arrives later. */
  :: d_step { asked[id] > 0 && answer[id] == 0 -> answer[id] = newest }
  :: d_step { answer[id] > 0 -> ADOPT(id, answer[id], READ_PROOF(id)); asked[id] = 0; answer[id] = 0 }
  :: d_step { asked[id] > 0 -> asked[id] = 0; answer[id] = 0 }
  /* A sync request of gateway 0, its response, and the receipt or loss of it. */
  :: d_step { id == 0 && vouchAt[id] == 0 -> vouchAt[id] = clock[id] }
  :: d_step { vouchAt[id] > 0 && vouchVersion[id] == 0 && version[1 - id] > 0 ->
      vouchVersion[id] = version[1 - id]; vouchAge[id] = clock[1 - id] - proof[1 - id]
    }
  :: d_step { vouchVersion[id] > 0 ->
      REACHED;
      ADOPT(id, vouchVersion[id], VOUCH_PROOF(id));
      vouchAt[id] = 0; vouchVersion[id] = 0; vouchAge[id] = 0
    }
  :: d_step { vouchAt[id] > 0 -> vouchAt[id] = 0; vouchVersion[id] = 0; vouchAge[id] = 0 }
  /* A request of a caller, served with the version in force. */
  :: d_step { version[id] > 0 && clock[id] - proof[id] <= LIFE ->
      assert(replaced[version[id]] == NEVER || now - replaced[version[id]] <= LIFE)
    }
  od
}

/* Advances the time, and replaces the version in the store. */
proctype World()
{
end:
  do
  :: atomic { now < TICKS + TICKS -> now++; SUSPENDED(0); SUSPENDED(1) }
  :: d_step { newest < VERSIONS -> replaced[newest] = now; newest++ }
  od
}

init { atomic { run Gateway(0); run Gateway(1); run World() } }
