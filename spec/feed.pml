/*
 * A reader of a store that comes back from an older copy. The store counts its
 * writes in one number; a restore takes it back, and numbers are given out again
 * with the next era. The reader follows a row of the operator through a feed, and
 * may sleep while the store passes its position again. The operator writes again
 * what was lost.
 *
 * Checked: after each reading the reader has the newest value that the store has,
 * or a newer one; its value never goes back.
 */

#define WRITES   6
#define RESTORES 2

/* Store client: a feed whose position is of another era starts again. */
/* Go: platform, Store.readChanges. */
#ifdef MUTANT_FEED_WITHOUT_ERA
#define SAME_ERA(e) true
#else
#define SAME_ERA(e) ((e) == era)
#endif

/* Reader: an older value, as in the copy, is not taken. */
/* Go: internal/follow, Configs.apply; Fleets.contradicts. */
#ifdef MUTANT_COPY_TAKEN
#define MAY_TAKE(v) true
#else
#define MAY_TAKE(v) ((v) > value)
#endif

/* Reader: after a 410, and after a restore, everything is read again. */
/* Go: internal/follow, feed.poll (HistoryLost). */
#ifdef MUTANT_NO_FULL_READ
#define FULL_READ false
#else
#define FULL_READ true
#endif

byte era = 1;
byte number;
byte config;
byte configAt;
byte copyNumber;
byte copyConfig;
byte copyConfigAt;
byte restores;

byte feedEra;
byte feed;
byte value;

/* Interesting states, to show that the model does not pass because nothing happens. */
#define REACHED skip
#ifdef REACH_NUMBER_PASSED_AGAIN
#undef REACHED
#define REACHED assert(!(feedEra > 0 && feedEra < era && feed <= number && configAt <= feed && config > value))
#endif
#ifdef REACH_COPY_OLDER
#undef REACHED
#define REACHED assert(!(feedEra > 0 && feedEra < era && config < value))
#endif

proctype Reader()
{
  byte before;
end:
  do
  :: d_step {
      REACHED;
      before = value;
      if
      :: feedEra > 0 && SAME_ERA(feedEra) && feed <= number ->
        if
        :: configAt > feed && MAY_TAKE(config) -> value = config
        :: else
        fi
      :: else ->
        if
        :: (FULL_READ || feedEra == 0) && MAY_TAKE(config) -> value = config
        :: else
        fi
      fi;
      feedEra = era; feed = number;
      assert(value >= config);
      assert(value >= before);
      before = 0
    }
  od
}

proctype Store()
{
end:
  do
  :: d_step { number < WRITES -> number++; config++; configAt = number }
  :: d_step { number < WRITES -> number++ }
  :: d_step { number > copyNumber -> copyNumber = number; copyConfig = config; copyConfigAt = configAt }
  :: d_step { restores < RESTORES && number > copyNumber ->
      restores++; era++; number = copyNumber; config = copyConfig; configAt = copyConfigAt
    }
  od
}

init { atomic { run Reader(); run Store() } }
