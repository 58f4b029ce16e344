/*
 * Freshness of the target list at a follower. The leader reads the list from the
 * store, which it may lack for any time; the follower asks the leader, whose answers
 * may arrive late or never, and calls the store itself when what it has is too old.
 * Time passes in ticks. One target drains at some time, and never becomes ready again.
 *
 * Checked: the follower uses the target at most BOUND after it drained.
 */

#define BOUND   2
/* The age at which the follower calls the store; the call takes less than a tick. */
#define MAX_AGE 2
#define TICKS   9
#define NEVER   255

/* Gateway: the age in a sync response counts from the time before the sync request. */
/* Go: internal/peers, Peers.receiveSyncResponse. */
#ifdef MUTANT_AGE_FROM_RECEIPT
#define PROOF_OF_ANSWER (now - answerAge)
#else
#define PROOF_OF_ANSWER (requested - answerAge)
#endif

/* Gateway: the leader's reading counts from the time before its request. */
/* Go: internal/follow, Fleets.Run (requestedAt). */
#ifdef MUTANT_LEADER_AGE_FROM_ANSWER
#define PROOF_OF_LEADER now
#else
#define PROOF_OF_LEADER leaderAsked
#endif

/* Gateway: a follower calls the store itself when its list is too old. */
/* Go: internal/follow, feed.poll (FollowerMaxAge). */
#ifdef MUTANT_NO_OWN_CALL
#define MUST_CALL false
#else
#define MUST_CALL (now - proof >= MAX_AGE)
#endif

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED_OWN_CALL skip
#ifdef REACH_OWN_CALL
#undef REACHED_OWN_CALL
#define REACHED_OWN_CALL assert(!(draining && !known && !leaderKnown))
#endif
#define REACHED_ANSWER skip
#ifdef REACH_ANSWER
#undef REACHED_ANSWER
#define REACHED_ANSWER assert(!(answerKnown && !known && now > requested))
#endif

/* True time starts at TICKS, so that subtracted ages stay positive. */
byte now = TICKS;
bool draining;
byte drainedAt = NEVER;

/* The leader: whether it knows of the drain, as of when, and its call in flight. */
bool leaderKnown;
byte leaderProof = TICKS;
byte leaderAsked;
bool leaderAnswered;
bool leaderAnswer;

/* The follower, and its request to the leader with the answer. */
bool known;
byte proof = TICKS;
byte requested;
bool answered;
bool answerKnown;
byte answerAge;

proctype Leader()
{
end:
  do
  :: d_step { leaderAsked == 0 -> leaderAsked = now }
  /* The store reads its answer now; the answer arrives later, or is lost. */
  :: d_step { leaderAsked > 0 && !leaderAnswered -> leaderAnswered = true; leaderAnswer = draining }
  :: d_step { leaderAnswered ->
      leaderKnown = leaderKnown || leaderAnswer;
      leaderProof = PROOF_OF_LEADER;
      leaderAsked = 0; leaderAnswered = false; leaderAnswer = false
    }
  :: d_step { leaderAsked > 0 -> leaderAsked = 0; leaderAnswered = false; leaderAnswer = false }
  od
}

proctype Follower()
{
end:
  do
  :: d_step { requested == 0 -> requested = now }
  :: d_step { requested > 0 && !answered -> answered = true; answerKnown = leaderKnown; answerAge = now - leaderProof }
  :: d_step { answered ->
      if
      :: PROOF_OF_ANSWER > proof -> REACHED_ANSWER; known = known || answerKnown; proof = PROOF_OF_ANSWER
      :: else
      fi;
      requested = 0; answered = false; answerKnown = false; answerAge = 0
    }
  :: d_step { requested > 0 -> requested = 0; answered = false; answerKnown = false; answerAge = 0 }
  :: d_step { MUST_CALL -> REACHED_OWN_CALL; known = draining; proof = now }
  /* A request of a caller, for which the target is chosen. */
  :: d_step { !known -> assert(drainedAt == NEVER || now - drainedAt <= BOUND) }
  od
}

/* Advances the time, unless the follower has to call the store, and drains the target. */
proctype World()
{
end:
  do
  :: d_step { now < TICKS + TICKS && !MUST_CALL -> now++ }
  :: d_step { !draining -> draining = true; drainedAt = now }
  od
}

init { atomic { run Leader(); run Follower(); run World() } }
