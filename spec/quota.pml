/*
 * A tenant's quota over all nodes (package internal/quota and its exchange between nodes,
 * docs/design/quotas.md).
 *
 * Two nodes and two keepers of one account, the smallest system that shows the faults:
 * requests of one unit, a window without refill, and one outstanding charge request per
 * node. A node sends its charge request to either keeper, which grants or denies it, or the
 * node abandons it; a granted unit is used, or returned. The counters of units taken and
 * returned only increase; each message carries both. Messages are lost, duplicated and
 * reordered. At any time one fault happens: a keeper restarts without its state and may grant
 * COLD units, or a partition leaves one node and one keeper on each side.
 *
 * Assumed, and to be covered by the slack in reality:
 *   - a node sends no further charge request before the keepers that it reaches have heard
 *     of its last use;
 *   - a partition cuts both directions. With a single link cut, the keeper that hears both
 *     nodes reserves nothing, and the bound doesn't hold;
 *   - both sides detect a partition at once, when all use before it has been reported, so
 *     that they compute the same shares.
 *
 * Property: the units used are at most BURST, plus COLD for a restart, plus one unit that two
 * keepers grant at the same moment.
 *
 * Guards, each removed by a macro:
 *   ADDED              messages carry increments that are added up, instead of totals of
 *                      which the greater one holds
 *   NOT_TAKEN          an abandoned charge request is counted as returned, but not as taken
 *   FULL_COLD          a keeper that has restarted may grant a full burst
 *   NO_RESERVE         a keeper reserves nothing for nodes that it can't hear
 *   RETURNED_TWICE     a request that was granted and didn't run is returned twice
 */
#define BURST 3
#define COLD 1
#define BOUND (BURST + COLD + 1)
#define MAX_TAKEN 4             /* units that each node may take in the model, */
#define MAX_RETURNED 2          /* and return */

byte taken[2]; byte returned[2];             /* the nodes' counters */
byte used = 0;                               /* units used, by both nodes */

bool requesting[2]; byte requestedAt[2];     /* a node waits for the reply of this keeper */
byte requestTaken[2]; byte requestReturned[2];       /* counters in that charge request */
byte reply[2];                               /* the reply to it */
#define NO_REPLY 0
#define GRANT 1
#define DENY 2

/* One abandoned charge request that is delivered late, or twice, with its old counters. */
bool delayed = false; byte delayedFrom, delayedTo, delayedTaken, delayedReturned;

/* The keepers' accounts. What a keeper knows of a node is at index AT(keeper, node). */
short credit[2];                             /* what the keeper may grant in all */
byte heardTaken[4]; byte heardReturned[4];
byte baseTaken[4]; byte baseReturned[4];     /* the first counters heard since its restart */
bool known[4];                               /* the keeper has heard the node since its restart */
byte reported[4];                            /* units taken, as last reported to the keeper */
#ifdef ADDED
byte sentTaken[4]; byte sentReturned[4];     /* counters as of the last increments sent */
#endif

bool faulty = false;                         /* the one fault has happened */
bool partitioned = false;

#define AT(k, n) (2 * (k) + (n))
#define NET(k, n) (heardTaken[AT(k, n)] - baseTaken[AT(k, n)] - heardReturned[AT(k, n)] + baseReturned[AT(k, n)])
#define LEVEL(k) (credit[k] - NET(k, 0) - NET(k, 1))
#define REACHES(n, k) (!partitioned || (n) == (k))
#define REPORTED(n, k) (!REACHES(n, k) || reported[AT(k, n)] == taken[n])

/* A keeper merges the counters t and r of a node into its account. */
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
    :: reported[AT(k, n)] < t -> reported[AT(k, n)] = t
    :: else
    fi
}

inline report(n, k) {
#ifdef ADDED
    if
    :: true -> /* delivered */
        heardTaken[AT(k, n)] = heardTaken[AT(k, n)] + taken[n] - sentTaken[AT(k, n)];
        heardReturned[AT(k, n)] = heardReturned[AT(k, n)] + returned[n] - sentReturned[AT(k, n)]
    :: true -> skip /* lost */
    fi;
    sentTaken[AT(k, n)] = taken[n]; sentReturned[AT(k, n)] = returned[n];
    reported[AT(k, n)] = taken[n]
#else
    merge(k, n, taken[n], returned[n])
#endif
}

inline sendRequest(n, k) {
    requesting[n] = true; requestedAt[n] = k; reply[n] = NO_REPLY;
    requestTaken[n] = taken[n]; requestReturned[n] = returned[n]
}

inline endRequest(n) {
    requesting[n] = false; requestedAt[n] = 0; reply[n] = NO_REPLY; requestTaken[n] = 0; requestReturned[n] = 0
}

/* A keeper decides on a charge request. */
inline decide(n, k, t, r, decision) {
#ifndef ADDED
    merge(k, n, t, r);
#endif
    if
    :: LEVEL(k) >= 1 ->
        decision = GRANT;
        heardTaken[AT(k, n)]++;
#ifdef ADDED
        sentTaken[AT(k, n)]++;
#endif
    :: else -> decision = DENY
    fi
}

inline use(n) {
    taken[n]++; used++;
    endRequest(n);
    assert(used <= BOUND)
}

inline returnUnit(n) {
    taken[n]++; returned[n]++;
#ifdef RETURNED_TWICE
    returned[n]++;
#endif
    endRequest(n)
}

/* The node stops waiting. The keeper may have granted the unit, or may still do so. */
inline abandon(n) {
#ifndef NOT_TAKEN
    taken[n]++;
#endif
    returned[n]++;
    if
    :: !delayed && reply[n] == NO_REPLY ->
        delayed = true; delayedFrom = n; delayedTo = requestedAt[n];
        delayedTaken = requestTaken[n]; delayedReturned = requestReturned[n]
    :: true -> skip
    fi;
    endRequest(n)
}

inline clearDelayed() {
    delayed = false; delayedFrom = 0; delayedTo = 0; delayedTaken = 0; delayedReturned = 0
}

inline deliverDelayed() {
    decide(delayedFrom, delayedTo, delayedTaken, delayedReturned, ignoredReply);
    ignoredReply = 0
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

/* In a partition a keeper reserves the share of the node that it can't hear: in proportion to use,
 * or half where there was no use. The share that it may grant is rounded down. */
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

#define SETTLED (REPORTED(0, 0) && REPORTED(0, 1) && REPORTED(1, 0) && REPORTED(1, 1) && !requesting[0] && !requesting[1])

#define REQUEST_STEPS(n, k) \
    :: atomic { !requesting[n] && taken[n] < MAX_TAKEN && returned[n] < MAX_RETURNED && REACHES(n, k) && REPORTED(n, 0) && REPORTED(n, 1) -> sendRequest(n, k) } \
    :: atomic { REACHES(n, k) && (reported[AT(k, n)] != taken[n] || !known[AT(k, n)] || heardReturned[AT(k, n)] != returned[n]) -> report(n, k) }

#define STEPS(n) \
    REQUEST_STEPS(n, 0) \
    REQUEST_STEPS(n, 1) \
    :: atomic { requesting[n] && reply[n] == NO_REPLY && REACHES(n, requestedAt[n]) -> decide(n, requestedAt[n], requestTaken[n], requestReturned[n], reply[n]) } \
    :: atomic { requesting[n] && reply[n] == GRANT -> use(n) } \
    :: atomic { requesting[n] && reply[n] == GRANT -> returnUnit(n) } \
    :: atomic { requesting[n] && reply[n] == DENY -> endRequest(n) } \
    :: atomic { requesting[n] -> abandon(n) }

byte ignoredReply = 0;                       /* the reply to an abandoned charge request */

active proctype system() {
    d_step {
        credit[0] = BURST; credit[1] = BURST;
        known[0] = true; known[1] = true; known[2] = true; known[3] = true
    }
end: do
    STEPS(0)
    STEPS(1)
    :: atomic { delayed && REACHES(delayedFrom, delayedTo) -> deliverDelayed() }
    :: atomic { delayed -> clearDelayed() }
    :: atomic { !faulty -> restart(0) }
    :: atomic { !faulty && SETTLED -> faulty = true; partitioned = true; reserve(0); reserve(1) }
    od
}
