/*
 * Step cursor and attempts of one request over a chain of two stages.
 *
 * Messages are kept in sets that only grow: a message may be received late,
 * out of order, many times or never. There are three agents, of which two serve
 * as stages; the third replaces a stage that the entry suspects. A suspected
 * agent may still run (it was frozen), and then continues its old attempt. An
 * agent may also crash and lose its session.
 *
 * A fresh chain splits the layers at another position, so that the output of an
 * old stage 0 is a wrong input for a new stage 1.
 *
 * Checked: each stage session runs each position once and in order on the
 * correct input; the entry emits each token once, in order of position and with
 * the correct value; if a caller received NotRun, nothing has run.
 */

#define AGENTS   3
#define ATTEMPTS 3
#define POSITIONS 2
/* Outputs that an agent keeps; fewer than POSITIONS so that a log can be too short. */
#define LOGSIZE  1
#define CRASHES  1

/* Receiver of Step: a position below the cursor is answered from the log. */
/* Go: internal/steps, Session.acceptInputs and Session.resendResults. */
#ifdef MUTANT_RERUN
#define BELOW_CURSOR(p, t) false
#else
#define BELOW_CURSOR(p, t) ((p) < next[t])
#endif

/* Receiver of Step: a position above the cursor is buffered until its turn. */
/* Go: internal/steps, Session.acceptInputs and Session.bufferInputs. */
#ifdef MUTANT_GAP
#define ABOVE_CURSOR(p, t) false
#else
#define ABOVE_CURSOR(p, t) ((p) > next[t])
#endif

/* Receiver of Step: the attempt must be that of the session. */
/* Go: internal/steps, Session.Step. */
#ifdef MUTANT_STALE_STEP
#define STEP_ATTEMPT(a, t) true
#else
#define STEP_ATTEMPT(a, t) ((a) == attempt[t])
#endif

/* Receiver of Open: an attempt below that of the session is refused as stale. */
/* Go: internal/steps, Session.Open. */
#ifdef MUTANT_STALE_OPEN
#define OPEN_ATTEMPT(a, t) ((a) != attempt[t])
#else
#define OPEN_ATTEMPT(a, t) ((a) > attempt[t])
#endif

/* Receiver of Open: a session is resumed only for the layers that it holds. */
/* Go: internal/steps, Session.Open and Session.engineSessionMatches. */
#ifdef MUTANT_OTHER_LAYERS
#define SAME_LAYERS(a, t) true
#else
#define SAME_LAYERS(a, t) (layers[t] == split[a])
#endif
#define RESUMES(a, i, t) (session[t] && stage[t] == (i) && !fresh[a] && SAME_LAYERS(a, t))

/* Receiver of Start: a repeated Start of the same attempt is ignored. */
/* Go: internal/steps, Session.Start (phase). */
#ifdef MUTANT_START_TWICE
#define NOT_STARTED(t) true
#else
#define NOT_STARTED(t) (!started[t])
#endif

/* Entry: Start is sent only after all stages have accepted. This rule has no */
/* mutant: a missing Next would count as 0 in this model, and the answer to the */
/* caller would stay correct. */
/* Go: internal/steps, Coordinator.handleOpened. */
#define ALL_OPENED(a) (reply[AT(a, 0)] > REFUSED && reply[AT(a, 1)] > REFUSED)

/* Entry: the log of a stage that is kept must reach back to its successor's cursor. */
/* Go: internal/steps, Coordinator.cursors; Session.resendOutputs fails instead. */
#ifdef MUTANT_SHORT_LOG
#define LOG_REACHES(a) true
#else
#define LOG_REACHES(a) (replyLog[AT(a, 0)] <= reply[AT(a, 1)] - OPENED && \
        (replyLog[AT(a, 1)] < emitted || reply[AT(a, 1)] - OPENED < emitted))
#endif

/* Entry: all sessions of a fresh chain are set to the lowest Next. */
/* Go: internal/steps, Coordinator.cursors and Coordinator.startStage (Reset). */
#ifdef MUTANT_NO_RESET
#define RESETS(a) false
#else
#define RESETS(a) (fresh[a])
#endif

/* Entry: the last known position runs again even if it is cached, since its output */
/* is the next token. */
/* Go: internal/steps, Coordinator.cursors (need). */
#ifdef MUTANT_WHOLE_PROMPT_CACHED
#define LOWEST(x, y) MIN(x, y)
#else
#define LOWEST(x, y) MIN((emitted - 1), MIN(x, y))
#endif

/* Entry: a token is emitted only at the first position not yet emitted. */
/* Go: internal/steps, Coordinator.handleToken. */
#ifdef MUTANT_EMIT_ANY
#define TO_EMIT(q) true
#else
#define TO_EMIT(q) ((q) == emitted)
#endif

/* Entry: a refusal is reported as NotRun only if no attempt was started. */
/* Go: internal/steps, Coordinator.Outcome and Coordinator.handleRefused. */
#ifdef MUTANT_NOTRUN_LATE
#define NEVER_STARTED true
#else
#define NEVER_STARTED (!anyStart)
#endif

#define AT(a, i) ((a) * 2 + (i))
#define STEP(a, p) ((a) * POSITIONS + (p))
#define TOKEN(a, q) ((a) * (POSITIONS + 1) + (q))
#define MIN(x, y) ((x) < (y) -> (x) : (y))

/* Values of reply: 0 for none, REFUSED, or OPENED plus the cursor. */
#define REFUSED 1
#define OPENED  2
/* Values of a Step or Token message: 0 for not sent, or its content. */
#define RIGHT 1
#define WRONG 2

/* Messages from the entry, by attempt. */
bit openSent[ATTEMPTS + 1];
bit fresh[ATTEMPTS + 1];
bit split[ATTEMPTS + 1];
byte chain[2 * ATTEMPTS + 2];
bit startSent[ATTEMPTS + 1];
bit reset[ATTEMPTS + 1];
byte cursor[2 * ATTEMPTS + 2];
byte known[ATTEMPTS + 1];

/* Messages from the agents. */
byte reply[2 * ATTEMPTS + 2];
byte replyLog[2 * ATTEMPTS + 2];
byte step[(ATTEMPTS + 1) * POSITIONS];
byte token[(ATTEMPTS + 1) * (POSITIONS + 1)];

/* Agents; kv counts the positions applied in the engine session. */
bit session[AGENTS];
bit started[AGENTS];
bit ranInAttempt[AGENTS];
bit layers[AGENTS];
byte attempt[AGENTS];
byte stage[AGENTS];
byte next[AGENTS];
byte kv[AGENTS];
byte logFrom[AGENTS];
/* The attempt during which the current incarnation started. It has new links, so */
/* that it receives no message of that or earlier attempts. */
byte born[AGENTS];
byte crashes;

/* Entry; position 0 is the prompt. */
byte current = 0;
byte emitted = 1;
bit anyStart;
bit anyRun;
bit notRun;

inline advance(t)
{
  kv[t]++;
  next[t]++;
  ranInAttempt[t] = 1;
  anyRun = 1;
  assert(!notRun);
  if
  :: next[t] - logFrom[t] > LOGSIZE -> logFrom[t] = next[t] - LOGSIZE
  :: else
  fi
}

inline openSession(a, i, t)
{
  attempt[t] = a;
  started[t] = 0;
  ranInAttempt[t] = 0;
  if
  :: RESUMES(a, i, t) -> skip
  :: else ->
    session[t] = 1;
    stage[t] = i;
    layers[t] = split[a];
    /* A prompt-prefix cache hit may cover position 0. */
    if
    :: kv[t] = 0
    :: kv[t] = 1
    fi;
    next[t] = kv[t];
    logFrom[t] = kv[t]
  fi;
  if
  :: reply[AT(a, i)] == 0 ->
    reply[AT(a, i)] = OPENED + next[t];
    replyLog[AT(a, i)] = logFrom[t]
  :: else
  fi
}

/* Sends the outputs that the successor lacks, as far as the log has them. */
inline resend(a, t)
{
  if
  :: stage[t] == 0 -> pos = cursor[AT(a, 1)]
  :: else -> pos = known[a] - 1
  fi;
  do
  :: pos < next[t] ->
    if
    :: pos >= logFrom[t] && stage[t] == 0 -> step[STEP(a, pos)] = RIGHT
    :: pos < logFrom[t] && stage[t] == 0 -> step[STEP(a, pos)] = WRONG
    :: pos >= logFrom[t] && stage[t] == 1 -> token[TOKEN(a, pos + 1)] = RIGHT
    :: pos < logFrom[t] && stage[t] == 1 -> token[TOKEN(a, pos + 1)] = WRONG
    fi;
    pos++
  :: else -> break
  od;
  pos = 0
}

/* Receipt of one Open. */
#define OPEN(a, i) atomic { openSent[a] && chain[AT(a, i)] == t && a > born[t] && OPEN_ATTEMPT(a, t) -> \
    if \
    :: openSession(a, i, t) \
    :: reply[AT(a, i)] == 0 -> reply[AT(a, i)] = REFUSED \
    fi }

/* Receipt of one Step by stage 1. */
#define RUN(a, p) d_step { session[t] && started[t] && stage[t] == 1 && chain[AT(a, 1)] == t && \
    step[STEP(a, p)] && STEP_ATTEMPT(a, t) && !ABOVE_CURSOR(p, t) && !ANSWERED(a, p, t) -> \
    if \
    :: BELOW_CURSOR(p, t) -> token[TOKEN(attempt[t], p + 1)] = RIGHT \
    :: else -> \
      assert(p == kv[t]); \
      assert(step[STEP(a, p)] == RIGHT); \
      assert(layers[t] == split[a]); \
      token[TOKEN(attempt[t], p + 1)] = RIGHT; \
      advance(t) \
    fi }

/* The answer from the log is already sent, or the log no longer has it. */
#define ANSWERED(a, p, t) (BELOW_CURSOR(p, t) && (p < logFrom[t] || token[TOKEN(attempt[t], p + 1)]))

proctype Agent(byte t)
{
  byte pos, a;
end:
  do
  /* Open, also a repeated or an old one. */
  :: OPEN(1, 0) :: OPEN(1, 1)
  :: OPEN(2, 0) :: OPEN(2, 1)
  :: OPEN(3, 0) :: OPEN(3, 1)
  /* Start. */
  :: d_step { session[t] && startSent[attempt[t]] && NOT_STARTED(t) &&
      chain[AT(attempt[t], stage[t])] == t ->
    a = attempt[t];
    started[t] = 1;
    if
    :: reset[a] && cursor[AT(a, stage[t])] <= next[t] ->
      /* Truncation would undo positions that ran in this attempt. */
      assert(!ranInAttempt[t]);
      next[t] = cursor[AT(a, stage[t])];
      kv[t] = next[t];
      logFrom[t] = MIN(logFrom[t], next[t])
    :: else
    fi;
    resend(a, t);
    a = 0
  }
  /* Stage 0: the next token is known from Start or from the last stage. */
  :: d_step { session[t] && started[t] && stage[t] == 0 && next[t] < POSITIONS &&
      (next[t] < known[attempt[t]] || token[TOKEN(attempt[t], next[t])]) ->
    assert(kv[t] == next[t]);
    assert(next[t] < known[attempt[t]] || token[TOKEN(attempt[t], next[t])] == RIGHT);
    assert(layers[t] == split[attempt[t]]);
    step[STEP(attempt[t], next[t])] = RIGHT;
    advance(t)
  }
  /* Stage 1: receipt of any Step that was ever sent to it. */
  :: RUN(1, 0) :: RUN(1, 1)
  :: RUN(2, 0) :: RUN(2, 1)
  :: RUN(3, 0) :: RUN(3, 1)
  /* Crash: the new incarnation has no state of the request. */
  :: d_step { crashes < CRASHES && started[t] ->
    crashes++;
    born[t] = current;
    session[t] = 0; started[t] = 0; ranInAttempt[t] = 0; layers[t] = 0;
    attempt[t] = 0; stage[t] = 0; next[t] = 0; kv[t] = 0; logFrom[t] = 0
  }
  od
}

/* Opens the next attempt with the agents x and y. */
inline open(x, y, f)
{
  current++;
  fresh[current] = f;
  if
  :: f -> split[current] = current % 2
  :: else -> split[current] = split[current - 1]
  fi;
  chain[AT(current, 0)] = x;
  chain[AT(current, 1)] = y;
  openSent[current] = 1
}

#define OLD0 chain[AT(current - 1, 0)]
#define OLD1 chain[AT(current - 1, 1)]
#define SPARE (3 - OLD0 - OLD1)

/* Receipt of one Token of the current attempt. */
#define EMIT(q) d_step { token[TOKEN(current, q)] && TO_EMIT(q) && emitted <= POSITIONS -> \
    assert(token[TOKEN(current, q)] == RIGHT); \
    assert(q == emitted); \
    assert(!notRun); \
    emitted++; \
    REACHED }

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_ANSWER_AFTER_REPLACEMENT
#undef REACHED
#define REACHED assert(!(emitted > POSITIONS && current == 3 && known[3] > 1 && !fresh[2] && !fresh[3]))
#endif
#ifdef REACH_ANSWER_AFTER_FRESH_CHAIN
#undef REACHED
#define REACHED assert(!(emitted > POSITIONS && current == 3 && known[3] > 1 && fresh[3]))
#endif
#ifdef REACH_ANSWER_AFTER_CRASH
#undef REACHED
#define REACHED assert(!(emitted > POSITIONS && crashes == CRASHES))
#endif

proctype Entry()
{
  byte low;
  atomic { open(0, 1, 1) };
end:
  do
  :: atomic { !notRun && !startSent[current] && ALL_OPENED(current) &&
      (LOG_REACHES(current) || fresh[current] || current < ATTEMPTS) ->
    if
    :: LOG_REACHES(current) || fresh[current] ->
      cursor[AT(current, 0)] = reply[AT(current, 0)] - OPENED;
      cursor[AT(current, 1)] = reply[AT(current, 1)] - OPENED;
      if
      :: RESETS(current) ->
        reset[current] = 1;
        low = LOWEST(cursor[AT(current, 0)], cursor[AT(current, 1)]);
        cursor[AT(current, 0)] = low;
        cursor[AT(current, 1)] = low;
        low = 0
      :: else
      fi;
      known[current] = emitted;
      startSent[current] = 1;
      anyStart = 1
    :: else -> open(OLD0, OLD1, 1)
    fi
  }
  /* A refusal before Start. */
  :: atomic { !notRun && !startSent[current] && (NEVER_STARTED || current < ATTEMPTS) &&
      (reply[AT(current, 0)] == REFUSED || reply[AT(current, 1)] == REFUSED) ->
    if
    :: NEVER_STARTED -> notRun = 1; assert(!anyRun)
    :: current < ATTEMPTS -> open(SPARE, OLD1, 0)
    :: current < ATTEMPTS -> open(OLD0, SPARE, 0)
    :: current < ATTEMPTS -> open(OLD0, OLD1, 1)
    fi
  }
  /* A stage is suspected, rightly or not; before Start this is a refusal. */
  :: atomic { startSent[current] && emitted <= POSITIONS && current < ATTEMPTS ->
    if
    :: open(SPARE, OLD1, 0)
    :: open(OLD0, SPARE, 0)
    :: open(OLD0, OLD1, 1)
    fi
  }
  :: EMIT(1)
  :: EMIT(2)
  od
}

init
{
  atomic { run Entry(); run Agent(0); run Agent(1); run Agent(2) }
}
