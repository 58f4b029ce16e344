/*
 * Ownership of one target by two agents: the owner row in the table has a
 * version and an epoch; each agent measures the lease on its own clock, and
 * orders carry the epoch as fencing token. Time passes in ticks. An agent may be
 * paused at any point, except under the assumption below. The answer to a write
 * may arrive late, or the agent may learn the result only much later, when it
 * reads the row back.
 *
 * There are two kinds of engine: one refuses a token below the highest that it
 * has seen, the other ignores tokens. Assumption for the second kind: an order
 * ends within ORDER ticks of the check of the lease, because there is no pause
 * between the check and the sending; the engine could not stop a later order.
 *
 * Checked for engines that check the token: no order takes effect after an order
 * of a higher epoch. For engines that ignore it: no order is sent after the lease
 * has expired, and none takes effect after a new owner holds the target. For
 * both: an epoch has one owner.
 */

#define LEASE    2
#define ORDER    1
#define TICKS    7
#define VERSIONS 3

/* Agent: a claim replaces exactly the owner row that was read. */
/* Go: internal/order, Lease.commitClaim (Commit.Version); internal/agent, Agent.commitOwner. */
#ifdef MUTANT_CLAIM_BLIND
#define ROW_IS(v) true
#else
#define ROW_IS(v) (version == (v))
#endif

/* Agent: the lease starts at the time before the claim was sent. */
/* Go: internal/order, Lease.Written and Lease.Observed (unconfirmedSentAt). */
#ifdef MUTANT_LEASE_FROM_ANSWER
#define LEASE_START now
#else
#define LEASE_START sent
#endif

/* Agent: the lease is checked on the clock just before each order. */
/* Go: internal/order, Lease.MaySend. */
#ifdef MUTANT_LEASE_UNCHECKED
#define LEASE_VALID true
#else
#define LEASE_VALID (now < until)
#endif

/* Agent: a new owner waits until the old lease has expired. */
/* Go: internal/order, Lease.remainingWait. */
#ifdef MUTANT_NO_LEASE_WAIT
#define LEASE_WAIT 0
#else
#define LEASE_WAIT LEASE
#endif

/* Agent: a new owner of an engine that ignores the token also waits until the */
/* longest order has ended. */
/* Go: internal/order, Lease.remainingWait (LongestOrder). */
#ifdef MUTANT_NO_ORDER_WAIT
#define ORDER_WAIT 0
#else
#define ORDER_WAIT (checks -> 0 : ORDER)
#endif

/* Agent: a renewal by the owner restarts the wait. */
/* Go: internal/order, Lease.Observed. */
#ifdef MUTANT_WAIT_FROM_FIRST_SIGHT
#define RESTARTS_WAIT (seenVersion == 0)
#else
#define RESTARTS_WAIT true
#endif

/* Agent: the token is the epoch of its own claim, not the latest in the table. */
/* Go: internal/order, Lease.MaySend. */
#ifdef MUTANT_TOKEN_FROM_TABLE
#define TOKEN epoch
#else
#define TOKEN mine
#endif

/* Engine: a token below the highest seen is refused. */
/* Go: internal/fakes/fengn, Engine.acceptOrder; a real engine as its target declares. */
#ifdef MUTANT_ENGINE_IGNORES
#define ACCEPTS(t) true
#else
#define ACCEPTS(t) (!checks || (t) >= seen)
#endif

#define MAX(x, y) ((x) > (y) -> (x) : (y))
#define NOBODY 2

/* Whether the engine checks the token. */
bit checks;
byte now;
/* Table: the owner row, of version 0 when absent. */
byte version;
byte epoch;
byte holder = NOBODY;

/* Orders in flight, by agent: token or 0, the sender's epoch, the tick by which it ends. */
byte orderToken[2];
byte orderEpoch[2];
byte orderEnd[2];

/* Engine: highest token seen and highest epoch of an order that took effect. */
byte seen;
byte highest;
/* Highest epoch whose owner holds the target, and that owner. */
byte held;
byte heldBy = NOBODY;

proctype Agent(byte id)
{
  byte seenVersion, seenEpoch, seenHolder, since, sent, mine, until;
  bit written;
end:
  do
  /* Read of the row. */
  :: d_step { seenVersion != version ->
      if
      :: RESTARTS_WAIT -> since = now
      :: else
      fi;
      seenVersion = version; seenEpoch = epoch; seenHolder = holder
    }
  /* Claim or renewal; the write may take effect at the table late. */
  :: atomic { seenVersion < VERSIONS &&
      (seenVersion == 0 || seenHolder == id || now >= since + LEASE_WAIT + ORDER_WAIT) ->
      sent = now
    };
    d_step {
      if
      :: ROW_IS(seenVersion) && version < VERSIONS ->
        if
        :: seenHolder == id && seenVersion > 0 && mine == seenEpoch && LEASE_VALID ->
          assert(epoch == mine)
        :: else ->
          seenEpoch++;
          assert(seenEpoch > epoch)
        fi;
        version++;
        epoch = seenEpoch;
        holder = id;
        seenVersion = version; seenHolder = id;
        since = now;
        written = 1
      :: else -> written = 0
      fi
    };
    /* The answer arrives at once or late. */
    d_step {
      if
      :: written ->
        mine = seenEpoch;
        until = LEASE_START + LEASE;
        if
        :: !checks && LEASE_VALID && mine > held -> held = mine; heldBy = id
        :: else
        fi
      :: else
      fi;
      written = 0; sent = 0
    }
  /* The engine checks tokens: a pause may separate lease check and sending. */
  :: checks && mine > 0 && LEASE_VALID && orderToken[id] == 0 ->
    d_step { orderToken[id] = TOKEN; orderEpoch[id] = mine }
  /* The engine ignores tokens: lease check and sending are one step. */
  :: d_step { !checks && mine > 0 && LEASE_VALID && orderToken[id] == 0 ->
      assert(now < until);
      orderToken[id] = TOKEN;
      orderEpoch[id] = mine;
      orderEnd[id] = now + ORDER
    }
  od
}

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_SECOND_OWNER_CHECKED
#undef REACHED
#define REACHED assert(!(checks && highest == 2))
#endif
#ifdef REACH_SECOND_OWNER_UNCHECKED
#undef REACHED
#define REACHED assert(!(!checks && highest == 2))
#endif

/* An order takes effect at the engine, or is refused. */
#define EFFECT(id) d_step { orderToken[id] -> \
    if \
    :: ACCEPTS(orderToken[id]) -> \
      assert(orderEpoch[id] >= highest); \
      assert(orderEpoch[id] >= held || heldBy == id); \
      seen = MAX(seen, orderToken[id]); \
      highest = MAX(highest, orderEpoch[id]) \
    :: else \
    fi; \
    orderToken[id] = 0; orderEpoch[id] = 0; orderEnd[id] = 0; \
    REACHED }

/* Time does not advance past the end of an order at an engine that ignores tokens. */
#define IN_TIME(id) (checks || orderToken[id] == 0 || now < orderEnd[id])

proctype Engine()
{
end:
  do
  :: EFFECT(0)
  :: EFFECT(1)
  :: d_step { now < TICKS && IN_TIME(0) && IN_TIME(1) -> now++ }
  od
}

init
{
  atomic {
    if
    :: checks = 0
    :: checks = 1
    fi;
    run Agent(0); run Agent(1); run Engine()
  }
}
