/*
 * The records of usage windows while two builds run side by side (packages internal/usage and
 * internal/nodeexchange), over a store that is restored from a backup. records.pml models this
 * build alone.
 *
 * One supervisor of this build, LATER, one of an earlier build, EARLIER, and one window. Each has
 * gathered other counts of it, and other ones in each era. EARLIER records whatever it has when
 * nobody has told it of a record; LATER leaves a window out that is in doubt. A node may start
 * again at any time and then knows nothing; messages about records may be lost. The backup is older
 * than the record of the window. LATER learns of an era of the store within the wait for the lease, and
 * before EARLIER tells it of a record made in that era.
 *
 * A node takes the lease after it has seen it free for a time, here in two halves (waited). All
 * nodes designate the lowest incarnation among those that haven't stepped back. LATER's is the
 * lower one. It steps back when the store is away, and resumes in the first half of the wait after
 * the store is back. The store answers both nodes or none: if it answers only EARLIER for that
 * long, EARLIER acts, and the property doesn't hold.
 *
 * Property: the platform accepts no two reports of the window with different counts.
 *
 * Guards, each removed by a macro:
 *   NO_PREFERENCE   LATER's incarnation isn't the lower one, so that EARLIER is designated too
 *   NO_RESUME       LATER steps back for longer than the lease is waited for
 *   NO_DOUBT        LATER records a window though it may have been reported
 *
 * Variants, in which it holds too:
 *   LATER_ONLY      EARLIER is designated too, the store is restored once, and the property is that
 *                   no report of LATER differs from one accepted before. With two restores it fails:
 *                   EARLIER may report a window in the second era that LATER recorded in the first
 *                   and reports in the third
 *
 * Guards of that variant:
 *   TRUST_STORE     LATER reports what the store has, though it is in doubt or LATER knows otherwise
 *   TRUST_EARLIER   LATER takes what EARLIER tells for a record, though the window is in doubt
 */
#define EARLIER 0
#define LATER 1
#define NOBODY 2
#define WAIT 2

#if defined(TRUST_STORE) || defined(TRUST_EARLIER)
#define LATER_ONLY
#endif
#ifdef LATER_ONLY
#define LAST_ERA 1
#else
#define LAST_ERA 2
#endif

byte era = 0;
byte record = 0;                /* the counts recorded in the store, 0: none */
byte first = 0;                 /* the counts of the first accepted report, 0: none */
bool differing = false;         /* a report with other counts was accepted */

byte holder = NOBODY;
byte waited = 0;                /* halves of the wait for the lease */
bool steppedBack = false;       /* LATER has stepped back */

byte known[2];                  /* the record in a node's memory */
byte unconfirmed = 0;           /* what EARLIER told LATER of the window while it was in doubt */
bool tenure = false;            /* LATER has held the lease since before the era that it has seen */
bool complete = false;          /* LATER knows the record if the window may have been reported before its era */
byte seenEra = 0;               /* of LATER */
bool reading = false;           /* the holder has read the store */
bool aside = false;             /* LATER doesn't report what the store has */

#define COUNTS_OF_EARLIER (2 + era)
#define COUNTS_OF_LATER (2 + LAST_ERA + 1 + era)

#if defined(NO_PREFERENCE) || defined(LATER_ONLY)
#define EARLIER_DESIGNATED true
#else
#define EARLIER_DESIGNATED steppedBack
#endif

#ifdef NO_DOUBT
#define IN_DOUBT false
#else
#define IN_DOUBT (!complete)
#endif

#ifdef TRUST_STORE
#define SET_ASIDE false
#else
#define SET_ASIDE (era > 0 && (known[LATER] == 0 && !complete || known[LATER] != 0 && known[LATER] != record))
#endif

#ifdef TRUST_EARLIER
#define ACCEPTS_TOLD true
#else
#define ACCEPTS_TOLD complete
#endif

inline release() { holder = NOBODY; reading = false; aside = false; waited = 0 }

inline accept(byLater) {
    if
    :: first == 0 -> first = record
    :: first != 0 && first != record -> differing = true;
#ifdef LATER_ONLY
        assert(!byLater)
#else
        assert(false)
#endif
    :: else
    fi
}

active proctype system() {
end: do
    /* The store is away and comes back from the backup. A holder keeps its lease, others wait. */
    :: d_step { era < LAST_ERA -> era++; record = 0; waited = 0;
        if
        :: holder != LATER -> steppedBack = true
        :: else
        fi }
    :: d_step { holder == NOBODY && waited < WAIT -> waited++;
#ifndef NO_RESUME
        steppedBack = false
#endif
        }
    /* Nodes start again. */
    :: d_step { true -> known[EARLIER] = 0;
        if
        :: holder == EARLIER -> release()
        :: else
        fi }
    :: d_step { true -> known[LATER] = 0; unconfirmed = 0; complete = false; tenure = false; seenEra = 0;
        if
        :: holder == LATER -> release()
        :: else
        fi }
    :: d_step { known[EARLIER] == 0 && known[LATER] != 0 -> known[EARLIER] = known[LATER] }
    :: d_step { known[EARLIER] == 0 && known[LATER] == 0 && unconfirmed != 0 -> known[EARLIER] = unconfirmed }
    :: d_step { known[LATER] == 0 && known[EARLIER] != 0 && ACCEPTS_TOLD && seenEra == era -> known[LATER] = known[EARLIER] }
    :: d_step { known[LATER] == 0 && known[EARLIER] != 0 && !ACCEPTS_TOLD && unconfirmed == 0 -> unconfirmed = known[EARLIER] }
    :: d_step { holder != NOBODY -> release() }
    /* EARLIER. */
    :: d_step { holder == NOBODY && waited == WAIT && EARLIER_DESIGNATED && seenEra == era -> holder = EARLIER; reading = false }
    :: d_step { holder == EARLIER && record == 0 ->
        if
        :: known[EARLIER] == 0 -> known[EARLIER] = COUNTS_OF_EARLIER
        :: else
        fi;
        record = known[EARLIER] }
    :: d_step { holder == EARLIER && record != 0 -> known[EARLIER] = record; accept(false) }
    /* LATER. */
    :: d_step { seenEra < era -> tenure = (holder == LATER && reading && seenEra + 1 == era);
        complete = complete && tenure; seenEra = era; reading = false; aside = false }
    :: d_step { holder == NOBODY && waited == WAIT && !steppedBack -> holder = LATER; reading = false; aside = false }
    :: d_step { holder == LATER && !reading && seenEra == era ->
        reading = true;
        if
        :: era == 0 -> complete = true
        :: else
        fi;
        if
        :: record != 0 && SET_ASIDE -> aside = true
        :: record != 0 && !SET_ASIDE -> known[LATER] = record
        :: else
        fi }
    :: d_step { holder == LATER && reading && seenEra == era && record == 0 && (known[LATER] != 0 || !IN_DOUBT) ->
        if
        :: known[LATER] == 0 -> known[LATER] = COUNTS_OF_LATER
        :: else
        fi;
        record = known[LATER] }
    :: d_step { holder == LATER && reading && seenEra == era && record != 0 && !aside -> accept(true) }
    od
}
