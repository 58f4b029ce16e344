/*
 * One non-idempotent call with an Idempotency-Key, which the caller sends three
 * times through three entries, with two agents. Attempt e has nonce e.
 *
 * The answer to a write to the table may be lost; such a write may still take
 * effect at any later time, or never. A Call message stays in the network and may
 * arrive late or twice. An agent may be paused at any point, or be killed once; a
 * request that it has written to the service takes effect nevertheless. An entry
 * may stop at any point.
 *
 * Checked: at most one effect for the key; an attempt that is reported to its
 * caller as NotRun has no effect, neither before nor later.
 */

#define ATTEMPTS 3
#define AGENTS   2
/* Bounds the number of takeovers; in the program, deadlines bound it. */
#define VERSIONS 3
/* Writes whose answer is lost. */
#define LOSSES   1

/* Entry: after a lost answer the row is read back; its nonce shows which attempt wrote it. */
/* Go: internal/once, ClaimResolver.Next (WriteLost) and ClaimResolver.handleRow. */
#ifdef MUTANT_ASSUME_CLAIM
#define OWN_UNREAD true
#else
#define OWN_UNREAD false
#endif

/* Entry: a takeover replaces exactly the row that was read. */
/* Go: internal/once, ClaimResolver.handleOutcome and writeClaim (Version); internal/entry, claimResolver.writeClaim. */
#ifdef MUTANT_TAKEOVER_BLIND
#define ROW_IS(v) ((v) > 0 || rowVersion == 0)
#else
#define ROW_IS(v) (rowVersion == (v))
#endif

/* Entry: before a takeover, the agent named in the row must fence the old nonce. */
/* Go: internal/once, ClaimResolver.handleRow and ClaimResolver.handleOutcome; Journal.Query. */
#ifdef MUTANT_TAKEOVER_UNFENCED
#define FENCE_BEFORE_TAKEOVER false
#else
#define FENCE_BEFORE_TAKEOVER true
#endif

/* Entry: a row without an outcome whose agent incarnation has ended stays Unknown. */
/* Go: internal/once, ClaimResolver.Next (AgentEnded); internal/entry, claimResolver.queryAgent. */
#ifdef MUTANT_GONE_IS_NEVER_SEEN
#define GONE(a, i) false
#else
#define GONE(a, i) (incarnation[a] != (i))
#endif

/* Entry: after a broken link only NeverSeen is reported as NotRun. */
/* Go: internal/entry, Entry.awaitOutcome and concluded. */
#ifdef MUTANT_NOTRUN_UNASKED
#define ASKS false
#else
#define ASKS true
#endif

/* Agent: a Call meant for another incarnation is dropped. */
/* Go: internal/once, Journal.Call. */
#ifdef MUTANT_INCARNATION
#define FOR_ME(e, g) true
#else
#define FOR_ME(e, g) (callIncarnation[e] == incarnation[g])
#endif

/* Agent: a Call with a fenced nonce is dropped. */
/* Go: internal/once, Journal.Call and Journal.Query. */
#ifdef MUTANT_FENCE
#define NOT_FENCED(e, g) true
#else
#define NOT_FENCED(e, g) (journal[AT(e, g)] != FENCED)
#endif

/* Agent: a Call whose nonce is in the journal is not sent again. */
/* Go: internal/once, Journal.Call. */
#ifdef MUTANT_REPEAT
#define NOT_BEGUN(e, g) true
#else
#define NOT_BEGUN(e, g) (journal[AT(e, g)] != RUNNING && journal[AT(e, g)] != DONE)
#endif

/* Agent: the call is in the journal before it is sent to the service. */
/* Go: internal/once, Journal.Call, which returns Dispatch after the entry is made. */
#ifdef MUTANT_JOURNAL_LATE
#define JOURNALED(e, g) skip
#else
#define JOURNALED(e, g) journal[AT(e, g)] = RUNNING
#endif

#define AT(e, g) ((e) * AGENTS + (g))

#define UNSEEN  0
#define RUNNING 1
#define DONE    2
#define FENCED  3

/* Table: the claim row, of version 0 when absent, and writes still in flight. */
byte rowVersion, rowNonce, rowAgent, rowIncarnation;
bit rowOutcome;
byte losses;
bit inFlight[ATTEMPTS];
byte inFlightVersion[ATTEMPTS];

/* Calls that were sent, and the agent and incarnation that they were sent to. */
bit callSent[ATTEMPTS];
byte callAgent[ATTEMPTS];
byte callIncarnation[ATTEMPTS];

/* Agents: journal of the current incarnation. */
byte incarnation[AGENTS];
byte journal[ATTEMPTS * AGENTS];

/* Service: requests written to it that have not taken effect. */
byte written[ATTEMPTS];
byte effects;
bit effect[ATTEMPTS];
bit toldNotRun[ATTEMPTS];

inline store(e, v)
{
  rowVersion++;
  rowNonce = e;
  rowAgent = callAgent[e];
  rowIncarnation = callIncarnation[e];
  rowOutcome = 0
}

inline tellNotRun(e)
{
  toldNotRun[e] = 1;
  assert(!effect[e]);
  goto end
}

proctype Entry(byte e)
{
  byte v, n, a, i;
  d_step {
    callAgent[e] = e % AGENTS;
    callIncarnation[e] = incarnation[callAgent[e]]
  };

submit:
  atomic {
    if
    :: ROW_IS(v) && rowVersion < VERSIONS -> store(e, v); goto owner
    :: !ROW_IS(v) -> goto conflict
    /* The answer is lost; the write takes effect later or never. */
    :: losses < LOSSES -> losses++; inFlight[e] = 1; inFlightVersion[e] = v;
      if
      :: OWN_UNREAD -> goto owner
      :: else -> goto readBack
      fi
    /* The table is down until the deadline. */
    :: tellNotRun(e)
    fi
  };

readBack:
  atomic {
    if
    :: rowVersion > 0 && rowNonce == e -> goto owner
    :: rowVersion == v && !(rowVersion > 0 && rowNonce == e) -> goto submit
    :: rowVersion != v && rowNonce != e -> goto conflict
    :: tellNotRun(e)
    fi
  };

conflict:
  atomic {
    if
    :: rowVersion > 0 && rowNonce == e -> goto owner
    :: rowOutcome -> goto end
    :: rowNonce != e && !rowOutcome -> v = rowVersion; n = rowNonce; a = rowAgent; i = rowIncarnation
    fi
  };
  /* Query to the agent named in the row. */
  atomic {
    if
    :: GONE(a, i) -> goto end
    :: !GONE(a, i) && (journal[AT(n, a)] == RUNNING || journal[AT(n, a)] == DONE) -> goto end
    :: !GONE(a, i) && (journal[AT(n, a)] == UNSEEN || journal[AT(n, a)] == FENCED) ->
      if
      :: FENCE_BEFORE_TAKEOVER -> journal[AT(n, a)] = FENCED
      :: else
      fi;
      n = 0; a = 0; i = 0;
      goto submit
    fi
  };

owner:
  atomic {
    v = 0; n = 0; a = 0; i = 0;
    if
    :: callSent[e] = 1
    :: tellNotRun(e)
    fi
  };
  a = callAgent[e];
  /* The answer arrives, or the link breaks and the agent is queried. */
  atomic {
    if
    :: incarnation[a] == callIncarnation[e] && journal[AT(e, a)] == DONE ->
      if
      :: rowNonce == e -> rowOutcome = 1
      :: true
      fi
    :: !ASKS -> tellNotRun(e)
    :: incarnation[a] != callIncarnation[e]
    :: incarnation[a] == callIncarnation[e] && (journal[AT(e, a)] == UNSEEN || journal[AT(e, a)] == FENCED) ->
      journal[AT(e, a)] = FENCED;
      tellNotRun(e)
    fi
  };
end:
  skip
}

/* Receipt of one Call, also late or repeated. */
#define CALL(e) d_step { callSent[e] && e % AGENTS == g && FOR_ME(e, g) && NOT_FENCED(e, g) && \
    NOT_BEGUN(e, g) && written[e] < 2 -> \
    JOURNALED(e, g); \
    written[e]++ }

proctype Agent(byte g)
{
end:
  do
  :: CALL(0)
  :: CALL(1)
  :: CALL(2)
  :: d_step { incarnation[g] == 0 ->
    incarnation[g] = 1;
    journal[AT(0, g)] = UNSEEN;
    journal[AT(1, g)] = UNSEEN;
    journal[AT(2, g)] = UNSEEN
  }
  od
}

/* The service runs a request; the agent records it if it is still the incarnation */
/* that sent it. */
#define EFFECT(e) d_step { written[e] -> \
    written[e]--; \
    effects++; \
    effect[e] = 1; \
    assert(effects <= 1); \
    assert(!toldNotRun[e]); \
    REACHED; \
    if \
    :: incarnation[callAgent[e]] == callIncarnation[e] -> journal[AT(e, callAgent[e])] = DONE \
    :: else \
    fi }

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_EFFECT_AFTER_TWO_TAKEOVERS
#undef REACHED
#define REACHED assert(!(rowVersion == 3))
#endif
#ifdef REACH_EFFECT_AFTER_AGENT_LOSS
#undef REACHED
#define REACHED assert(!(incarnation[0] == 1 && incarnation[1] == 1))
#endif

/* A write whose answer was lost takes effect, if its condition still holds. */
#define LAND(e) d_step { inFlight[e] -> \
    if \
    :: ROW_IS(inFlightVersion[e]) && rowVersion < VERSIONS -> store(e, 0) \
    :: else \
    fi; \
    inFlight[e] = 0; inFlightVersion[e] = 0 }

/* The service and the network. */
proctype Outside()
{
end:
  do
  :: EFFECT(0)
  :: EFFECT(1)
  :: EFFECT(2)
  :: LAND(0)
  :: LAND(1)
  :: LAND(2)
  od
}

init
{
  atomic { run Entry(0); run Entry(1); run Entry(2); run Agent(0); run Agent(1); run Outside() }
}
