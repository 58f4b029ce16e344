/*
 * The check of the target list when a request is sent. A gateway reads the list in two
 * ways at once, from the store and from another gateway; each reading may take any time
 * and arrive in any order, or be lost. A request is chosen by the list and sent any time
 * later. Time passes in ticks, whatever the gateway does: it may be frozen or slow. One
 * target drains at some time, and never becomes ready again.
 *
 * Checked: no request is sent to the target more than BOUND after it drained.
 */

#define BOUND 2
#define TICKS 8
#define NEVER 255

/* Gateway: the age of the list is checked when the request is sent. */
/* Go: internal/proxy, Server.mayReach (listError); internal/follow, Fleets.Usable. */
#ifdef MUTANT_AGE_NOT_CHECKED
#define YOUNG true
#else
#define YOUNG (now - proof <= BOUND)
#endif

/* Gateway: the newest list is asked again when the request is sent. */
/* Go: internal/proxy, Server.mayReach. */
#ifdef MUTANT_LIST_NOT_ASKED
#define STILL_READY true
#else
#define STILL_READY (!known)
#endif

/* Gateway: a reading that is older than the list does not replace it. */
/* Go: internal/follow, Fleets.apply (withOlderPage). */
#ifdef MUTANT_GOES_BACK
#define MERGED(value) value
#else
#define MERGED(value) (known || value)
#endif

/* Gateway: a reading counts from before its request. */
/* Go: internal/follow, Fleets.Run (requestedAt); internal/peers, receiveSyncResponse. */
#ifdef MUTANT_AGE_FROM_ANSWER
#define PROOF(i) now
#else
#define PROOF(i) asked[i]
#endif

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED_WITHHELD skip
#ifdef REACH_WITHHELD
#undef REACHED_WITHHELD
#define REACHED_WITHHELD assert(!known)
#endif
#define REACHED_OVERTAKEN skip
#ifdef REACH_OVERTAKEN
#undef REACHED_OVERTAKEN
#define REACHED_OVERTAKEN assert(!(known && !value[i]))
#endif
#define REACHED_LATE_SEND skip
#ifdef REACH_LATE_SEND
#undef REACHED_LATE_SEND
#define REACHED_LATE_SEND assert(drainedAt == NEVER || now == drainedAt)
#endif

/* True time starts at TICKS, so that ages stay positive. */
byte now = TICKS;
bool draining;
byte drainedAt = NEVER;

/* The list at the gateway, and when it was the newest for certain. */
bool known;
byte proof = TICKS;

/* Readings in flight; 0 is none. */
byte asked[2];
bool answered[2];
bool value[2];

proctype Reading(byte i)
{
end:
  do
  :: d_step { asked[i] == 0 -> asked[i] = now }
  :: d_step { asked[i] > 0 && !answered[i] -> answered[i] = true; value[i] = draining }
  :: d_step { answered[i] ->
      REACHED_OVERTAKEN;
      known = MERGED(value[i]);
      if
      :: PROOF(i) > proof -> proof = PROOF(i)
      :: else
      fi;
      asked[i] = 0; answered[i] = false; value[i] = false
    }
  :: d_step { asked[i] > 0 -> asked[i] = 0; answered[i] = false; value[i] = false }
  od
}

proctype Request()
{
end:
  do
  :: !known ->
    /* Chosen. */
    if
    :: d_step { YOUNG && STILL_READY ->
        REACHED_LATE_SEND;
        assert(drainedAt == NEVER || now - drainedAt <= BOUND)
      }
    :: d_step { !(YOUNG && STILL_READY) -> REACHED_WITHHELD }
    fi
  od
}

proctype World()
{
end:
  do
  :: now < TICKS + TICKS -> now++
  :: d_step { !draining -> draining = true; drainedAt = now }
  od
}

init { atomic { run Reading(0); run Reading(1); run Request(); run World() } }
