/*
 * The records of usage windows in the memory of the supervisors (package internal/usage, type
 * History), over a store that is restored from a backup. usage.pml models the record in a store
 * that loses nothing.
 *
 * Two nodes and one window, which ended before the store was restored; each node has gathered
 * other counts of it. A node may start again at any time and then knows nothing. At most one node
 * has the authority (storelease.pml, restore.pml). A report may be carried out at any later time.
 * The backup is older than the record of the window.
 *
 * Instead of clock times, inTouch tells that a node has had all records of the nodes that may
 * report within 1.5 s (confirmedFor). The reporter waits 2 s (heldTimeout) for the confirmation
 * of each node that is present, so it goes on without that of a node only if the node is out of
 * touch by then. A node that is out of touch when another one ends can't know what that one has
 * reported (interrupted), nor can one that has just started; it is in touch again once it has read
 * the store as the reporter, or has had all records of the reporter or of a node that was in touch.
 *
 * Property: the platform accepts no two reports of the window with different counts.
 *
 * Guards, each removed by a macro:
 *   NO_CONFIRMATION    a window is reported before the nodes in touch have its record
 *   NO_CHECK           without all confirmations, it is reported though the store has lost the record
 *   NO_ASK             an unknown window is recorded although another node may have its record
 *   NO_DOUBT           an unknown window is recorded although it may have been reported
 *   TRUST_MEMORY       a history counts as complete in a new era though its node was out of touch
 *   NO_INTERRUPT       a node counts as in touch again though another ended while it was not
 *   NO_FETCH           a node takes over another one's completeness without its records
 */
#define NODES 2
#define NOBODY NODES
#define LAST_ERA 2

byte era = 0;                   /* of the store */
byte record = 0;                /* 1 + node whose counts are recorded, 0: none */
byte reported = 0;              /* the same for the report that the platform accepted */
byte holder = NOBODY;           /* the node with the authority */
bool reading = false;           /* it has read the store since it has the authority */

byte seenEra[NODES];
byte known[NODES];              /* the record in the node's memory, 0: none */
byte knownEra[NODES];           /* the latest era in which it is known to have existed */
bool complete[NODES];           /* it knows the window's record if it may have been reported in an earlier era */
bool tenure[NODES];             /* it has had the authority since before the era that it has seen */
bool inTouch[NODES];
bool interrupted[NODES] = true;
byte sent[NODES];               /* a report in transit, 0: none */

#define NEWER(i, j) (known[j] != 0 && (known[i] == 0 || knownEra[j] > knownEra[i]))
#define HAS_ALL(i, j) (known[j] == 0 || known[i] == known[j])
#define OTHER(i) (1 - i)

#ifdef NO_CONFIRMATION
#define HELD(i, j) true
#else
#define HELD(i, j) (known[j] == known[i])
#endif
#ifdef NO_CHECK
#define MAY_GO_ON(i) true
#else
#define MAY_GO_ON(i) (record == known[i] && seenEra[i] == era)
#endif
#ifdef NO_DOUBT
#define MAY_RECORD(i) true
#else
#define MAY_RECORD(i) (complete[i] && (tenure[i] || ASKED(i)))
#endif
#ifdef NO_ASK
#define ASKED(i) true
#else
#define ASKED(i) HAS_ALL(i, OTHER(i))
#endif
#ifdef TRUST_MEMORY
#define CONFIRMED(i) true
#else
#define CONFIRMED(i) (inTouch[i] || holder == i && reading)
#endif
#ifdef NO_FETCH
#define FETCHED(i, j) true
#else
#define FETCHED(i, j) HAS_ALL(i, j)
#endif

#ifdef NO_INTERRUPT
#define INTERRUPTED_AT_START false
#else
#define INTERRUPTED_AT_START true
#endif

/* A node learns of another one's record. */
inline learn(i, j) {
    if
    :: NEWER(i, j) -> known[i] = known[j]; knownEra[i] = knownEra[j]
    :: else
    fi
}

/* A node that has another one's records is as complete as that one, in the same era. */
inline takeOver(i, j) {
    if
    :: seenEra[i] == seenEra[j] && complete[j] -> complete[i] = true
    :: else
    fi
}

/* A node learns of the store's era. */
inline observe(i) {
    if
    :: !CONFIRMED(i) -> complete[i] = false
    :: else
    fi;
    tenure[i] = (holder == i && reading);
    seenEra[i] = era; inTouch[i] = false
}

inline missEnd(j) {
    if
    :: !inTouch[j] ->
#ifndef NO_INTERRUPT
        interrupted[j] = true
#endif
    :: else
    fi
}

inline restart(i) {
    known[i] = 0; knownEra[i] = 0; inTouch[i] = false; interrupted[i] = INTERRUPTED_AT_START;
    seenEra[i] = 0; complete[i] = false;
    missEnd(OTHER(i));
    if
    :: holder == i -> holder = NOBODY; reading = false; tenure[i] = false
    :: else
    fi
}

#define MAY_SEND(i) \
    (holder == i && reading && known[i] != 0 && sent[i] == 0 && \
    (HELD(i, OTHER(i)) || MAY_GO_ON(i) && !inTouch[OTHER(i)]))

#define STEPS(i) \
    :: d_step { true -> restart(i) } \
    :: d_step { seenEra[i] < era -> observe(i) } \
    :: d_step { NEWER(i, OTHER(i)) -> learn(i, OTHER(i)) } \
    :: d_step { FETCHED(i, OTHER(i)) -> takeOver(i, OTHER(i)) } \
    :: d_step { inTouch[i] -> inTouch[i] = false } \
    :: d_step { !inTouch[i] && !interrupted[i] && HAS_ALL(i, OTHER(i)) -> inTouch[i] = true } \
    :: d_step { !inTouch[i] && holder == OTHER(i) && reading && seenEra[i] == seenEra[OTHER(i)] && HAS_ALL(i, OTHER(i)) -> \
        inTouch[i] = true; interrupted[i] = false } \
    :: d_step { interrupted[i] && FETCHED(i, OTHER(i)) && inTouch[OTHER(i)] && seenEra[i] == seenEra[OTHER(i)] -> interrupted[i] = false } \
    :: d_step { holder == NOBODY && seenEra[i] == era -> holder = i; reading = false } \
    :: d_step { holder == i -> holder = NOBODY; reading = false; tenure[i] = false } \
    :: d_step { holder == i && !reading && seenEra[i] == era -> \
        if \
        :: record != 0 -> known[i] = record; knownEra[i] = era \
        :: else \
        fi; \
        if \
        :: era == 0 -> complete[i] = true /* the store has lost nothing yet */ \
        :: else \
        fi; \
        reading = true; interrupted[i] = false } \
    :: d_step { holder == i && reading && seenEra[i] == era && record == 0 && (known[i] != 0 || MAY_RECORD(i)) -> \
        if \
        :: known[i] == 0 -> known[i] = i + 1 \
        :: else \
        fi; \
        record = known[i]; knownEra[i] = era } \
    :: d_step { MAY_SEND(i) -> sent[i] = known[i] } \
    :: d_step { sent[i] != 0 -> \
        assert(reported == 0 || reported == sent[i]); \
        reported = sent[i]; sent[i] = 0 }

active proctype system() {
end: do
    :: d_step { era < LAST_ERA -> era++; record = 0 }
    STEPS(0)
    STEPS(1)
    od
}
