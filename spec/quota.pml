/*
 * A tenant's quota over all nodes (package internal/quota and its exchange between nodes,
 * docs/design/quotas.md).
 *
 * Two nodes and two keepers of one account, as small as shows the faults: requests of one
 * unit, a window in which nothing is refilled, and one outstanding ask a node. A node asks
 * any keeper, is granted or denied, or gives the ask up; what was granted runs, or is given
 * back. Counters of units taken and returned only rise; each message carries both. Messages
 * are lost, repeated, and overtake each other. At any time one fault happens: a keeper
 * restarts and has forgotten all (COLD units are its to grant), or the nodes fall into two
 * halves of one node and one keeper each.
 *
 * Assumed, and to be covered by the slack in reality:
 *   - a node doesn't ask again before the keepers that it reaches have heard of its last use;
 *   - silence is mutual. With a single link cut, the keeper that hears both nodes keeps
 *     nothing back, and the bound doesn't hold;
 *   - halves notice at once that they don't hear each other, when all that was used before
 *     has been told, so that both sides know the same shares.
 *
 * Property: what runs is no more than BURST, and COLD for a restart, and one unit that two
 * keepers grant at the same moment.
 *
 * Guards, each removed by a macro:
 *   ADDED              messages carry increases that are added up, instead of totals of
 *                      which the greater one holds
 *   NOT_TAKEN          an ask without an answer is given back without being taken
 *   FULL_COLD          a keeper that has restarted has a whole burst to grant
 *   NO_RESERVE         a keeper keeps nothing back for nodes that it can't hear
 *   RETURNED_TWICE     a request that was granted and didn't run is given back twice
 */
#define BURST 3
#define COLD 1
#define BOUND (BURST + COLD + 1)
#define MOST 4                  /* units that a node takes in the model, */
#define MOST_RETURNED 2         /* and that it returns */

byte taken[2]; byte returned[2];             /* the nodes' counters */
byte ran = 0;                                /* units that ran, of both nodes */

bool asking[2]; byte asked[2];               /* the ask that a node waits for, and whom */
byte askTaken[2]; byte askReturned[2];       /* counters in that ask */
byte reply[2];                               /* to it */
#define NO_REPLY 0
#define GRANT 1
#define DENY 2

/* One ask that was given up, and is delivered late, or again, with the counters of its time. */
bool late = false; byte lateFrom, lateTo, lateTaken, lateReturned;

/* A keeper's account. Counters of the node are at index 2 * keeper + node. */
short credit[2];                             /* what it may grant in all */
byte heardTaken[4]; byte heardReturned[4];
byte baseTaken[4]; byte baseReturned[4];     /* what it heard first since its restart */
bool known[4];                               /* it has heard the node since then */
byte told[4];                                /* units taken of which it was told */
#ifdef ADDED
byte sentTaken[4]; byte sentReturned[4];     /* up to where the node has told its increases */
#endif

bool faulty = false;                         /* the one fault has happened */
bool halves = false;

#define AT(k, n) (2 * (k) + (n))
#define NET(k, n) (heardTaken[AT(k, n)] - baseTaken[AT(k, n)] - heardReturned[AT(k, n)] + baseReturned[AT(k, n)])
#define LEVEL(k) (credit[k] - NET(k, 0) - NET(k, 1))
#define REACHES(n, k) (!halves || (n) == (k))
#define TOLD(n, k) (!REACHES(n, k) || told[AT(k, n)] == taken[n])

/* A keeper takes a node's counters in. */
inline merge(k, n, t, r) {
    if
    :: !known[AT(k, n)] ->
        known[AT(k, n)] = true;
        baseTaken[AT(k, n)] = t; baseReturned[AT(k, n)] = r;
        heardTaken[AT(k, n)] = t; heardReturned[AT(k, n)] = r
    :: else ->
        if
        :: heardTaken[AT(k, n)] < t -> heardTaken[AT(k, n)] = t
        :: else
        fi;
        if
        :: heardReturned[AT(k, n)] < r -> heardReturned[AT(k, n)] = r
        :: else
        fi
    fi;
    if
    :: told[AT(k, n)] < t -> told[AT(k, n)] = t
    :: else
    fi
}

inline tell(n, k) {
#ifdef ADDED
    if
    :: true -> /* delivered */
        heardTaken[AT(k, n)] = heardTaken[AT(k, n)] + taken[n] - sentTaken[AT(k, n)];
        heardReturned[AT(k, n)] = heardReturned[AT(k, n)] + returned[n] - sentReturned[AT(k, n)]
    :: true -> skip /* lost */
    fi;
    sentTaken[AT(k, n)] = taken[n]; sentReturned[AT(k, n)] = returned[n];
    told[AT(k, n)] = taken[n]
#else
    merge(k, n, taken[n], returned[n])
#endif
}

inline ask(n, k) {
    asking[n] = true; asked[n] = k; reply[n] = NO_REPLY;
    askTaken[n] = taken[n]; askReturned[n] = returned[n]
}

inline endAsk(n) {
    asking[n] = false; asked[n] = 0; reply[n] = NO_REPLY; askTaken[n] = 0; askReturned[n] = 0
}

/* A keeper decides on an ask. */
inline decide(n, k, t, r, verdict) {
#ifndef ADDED
    merge(k, n, t, r);
#endif
    if
    :: LEVEL(k) >= 1 ->
        verdict = GRANT;
        heardTaken[AT(k, n)]++;
#ifdef ADDED
        sentTaken[AT(k, n)]++;
#endif
    :: else -> verdict = DENY
    fi
}

inline runIt(n) {
    taken[n]++; ran++;
    endAsk(n);
    assert(ran <= BOUND)
}

inline giveBack(n) {
    taken[n]++; returned[n]++;
#ifdef RETURNED_TWICE
    returned[n]++;
#endif
    endAsk(n)
}

/* The keeper may have granted it, or may still do so. */
inline giveUp(n) {
#ifndef NOT_TAKEN
    taken[n]++;
#endif
    returned[n]++;
    if
    :: !late && reply[n] == NO_REPLY ->
        late = true; lateFrom = n; lateTo = asked[n];
        lateTaken = askTaken[n]; lateReturned = askReturned[n]
    :: true -> skip
    fi;
    endAsk(n)
}

inline clearLate() {
    late = false; lateFrom = 0; lateTo = 0; lateTaken = 0; lateReturned = 0
}

inline deliverLate() {
    decide(lateFrom, lateTo, lateTaken, lateReturned, ignored);
    ignored = 0
}

inline restart(k) {
    faulty = true;
#ifdef FULL_COLD
    credit[k] = BURST;
#else
    credit[k] = COLD;
#endif
    known[AT(k, 0)] = false; known[AT(k, 1)] = false;
    heardTaken[AT(k, 0)] = 0; heardTaken[AT(k, 1)] = 0; heardReturned[AT(k, 0)] = 0; heardReturned[AT(k, 1)] = 0;
    baseTaken[AT(k, 0)] = 0; baseTaken[AT(k, 1)] = 0; baseReturned[AT(k, 0)] = 0; baseReturned[AT(k, 1)] = 0
}

/* A keeper keeps the share of the node that it can't hear: by use, or by number where there
 * was none. Shares of both sides are rounded down. */
inline reserve(k) {
#ifndef NO_RESERVE
    if
    :: LEVEL(k) <= 0 -> skip
    :: LEVEL(k) > 0 && NET(k, 0) + NET(k, 1) > 0 ->
        credit[k] = credit[k] - LEVEL(k) + LEVEL(k) * NET(k, k) / (NET(k, 0) + NET(k, 1))
    :: LEVEL(k) > 0 && NET(k, 0) + NET(k, 1) <= 0 ->
        credit[k] = credit[k] - LEVEL(k) + LEVEL(k) / 2
    fi
#else
    skip
#endif
}

#define SETTLED (TOLD(0, 0) && TOLD(0, 1) && TOLD(1, 0) && TOLD(1, 1) && !asking[0] && !asking[1])

#define ASK_STEPS(n, k) \
    :: atomic { !asking[n] && taken[n] < MOST && returned[n] < MOST_RETURNED && REACHES(n, k) && TOLD(n, 0) && TOLD(n, 1) -> ask(n, k) } \
    :: atomic { REACHES(n, k) && (told[AT(k, n)] != taken[n] || !known[AT(k, n)] || heardReturned[AT(k, n)] != returned[n]) -> tell(n, k) }

#define STEPS(n) \
    ASK_STEPS(n, 0) \
    ASK_STEPS(n, 1) \
    :: atomic { asking[n] && reply[n] == NO_REPLY && REACHES(n, asked[n]) -> decide(n, asked[n], askTaken[n], askReturned[n], reply[n]) } \
    :: atomic { asking[n] && reply[n] == GRANT -> runIt(n) } \
    :: atomic { asking[n] && reply[n] == GRANT -> giveBack(n) } \
    :: atomic { asking[n] && reply[n] == DENY -> endAsk(n) } \
    :: atomic { asking[n] -> giveUp(n) }

byte ignored = 0;               /* the reply to an ask that its node has given up */

active proctype system() {
    d_step {
        credit[0] = BURST; credit[1] = BURST;
        known[0] = true; known[1] = true; known[2] = true; known[3] = true
    }
end: do
    STEPS(0)
    STEPS(1)
    :: atomic { late && REACHES(lateFrom, lateTo) -> deliverLate() }
    :: atomic { late -> clearLate() }
    :: atomic { !faulty -> restart(0) }
    :: atomic { !faulty && SETTLED -> faulty = true; halves = true; reserve(0); reserve(1) }
    od
}
