/*
 * Grants of one engine to waiting requests (packages internal/waitlist and
 * internal/nodeexchange, docs/design/waiting.md).
 *
 * Two arbiters, the first home of the engine and the next one, and two nodes with one request
 * at a time each. Time is a global counter. Messages are lost, doubled, delayed and received in
 * any order. At any time the nodes may lose the first arbiter and turn to the next, which knows
 * no grants, while the first one still grants the engine to the requests that it knows.
 *
 * Assumed: the load of a request that uses a grant shows in the arbiters' accounts within SHOWN;
 * no node suspends between its look at the clock and its message to the engine.
 *
 * Properties: the engine is used by one request at a time, or by two after the arbiter has
 * changed; an arbiter may grant the engine again LIFE after a grant, so that no request waits for
 * a lost one.
 *
 * Guards, each removed by a macro:
 *   NO_OUTSTANDING     an arbiter grants the engine while an earlier grant of it is outstanding
 *   NO_LATE_CHECK      a node uses a grant that arrives after its end
 *   NO_MARGIN          a node uses a grant until the arbiter may give the next one
 *   NO_SERIAL          a late message that declines a grant ends a later one
 *   NO_SEEN            a node takes the second copy of a grant that it has declined
 *   NO_EXPIRY          a grant lasts until its request has used or declined it
 */
#define LIFE 3                  /* of a grant at its arbiter, */
#define SHOWN 1
#define LAST_TIME 4
#define LAST_REQUEST 1          /* requests of each node */
#define LAST_SERIAL 3           /* of the first arbiter; the second one gives one grant */
#define NETWORK 2

#ifdef NO_MARGIN
#define USE LIFE
#else
#define USE (LIFE - SHOWN)      /* and at the node that is granted it */
#endif
#ifdef NO_LATE_CHECK
#define USABLE(given) true
#else
#define USABLE(given) (now < (given) + USE)
#endif
#ifdef NO_OUTSTANDING
#define FREE(a) true
#else
#ifdef NO_EXPIRY
#define FREE(a) (holder[a] == 0)
#else
#define FREE(a) (holder[a] == 0 || now >= given[a] + LIFE)
#endif
#endif
#ifdef NO_SERIAL
#define SAME(a, s) true
#else
#define SAME(a, s) (serial[a] == (s))
#endif

#ifdef NO_SEEN
#define NEW(a, n, s) true
#else
#define NEW(a, n, s) ((s) > seen[2 * (a) + (n)])
#endif

mtype = { grant, decline };

/* kind, arbiter, node, request, time of the grant, serial number */
chan net = [NETWORK] of { mtype, byte, byte, byte, byte, byte };

byte now = 0;
bool changed = false;           /* the nodes have turned to the second arbiter */
byte holder[2];                 /* 1 + node whose request holds the arbiter's grant, 0: none */
byte held[2]; byte given[2]; byte serial[2];

byte seen[4];                   /* the last grant of the arbiter that the node has received */
byte request[2];                /* number of the node's request */
bool using[2]; bool shows[2]; byte usedAt[2];

#define ARBITRATES(a) ((a) == 0 || changed)
#define LATE_TO_SHOW(n) (using[n] && !shows[n] && now >= usedAt[n] + SHOWN)

inline giveGrant(a, n) {
    serial[a]++; holder[a] = n + 1; held[a] = request[n]; given[a] = now;
    if
    :: net !! grant, a, n, request[n], now, serial[a]
    :: true -> skip             /* lost */
    fi
}

inline nextRequest(n) {
    using[n] = false; shows[n] = false; usedAt[n] = 0;
    if
    :: request[n] < LAST_REQUEST -> request[n]++
    :: else
    fi
}

#define STEPS(n) \
    :: atomic { using[n] && !shows[n] -> shows[n] = true } \
    :: atomic { using[n] && request[n] < LAST_REQUEST -> nextRequest(n) } \
    :: atomic { !using[n] && request[n] < LAST_REQUEST -> nextRequest(n) } \
    :: atomic { ARBITRATES(0) && !using[n] && FREE(0) && !shows[0] && !shows[1] && serial[0] < LAST_SERIAL && len(net) < NETWORK -> giveGrant(0, n) } \
    :: atomic { ARBITRATES(1) && !using[n] && FREE(1) && !shows[0] && !shows[1] && serial[1] == 0 && len(net) < NETWORK -> giveGrant(1, n) }

inline receiveGrant() {
    if
    :: !using[n] && request[n] == r && USABLE(at) && NEW(a, n, s) ->
        seen[2 * a + n] = s;
        if
        :: true ->
            using[n] = true; usedAt[n] = now;
            assert(using[0] + using[1] <= 1 + changed)
        :: len(net) < NETWORK -> net !! decline, a, n, r, at, s
        fi
    :: else
    fi
}

inline receiveDecline() {
    if
    :: holder[a] == n + 1 && held[a] == r && SAME(a, s) -> holder[a] = 0; held[a] = 0; given[a] = 0
    :: else
    fi
}

#define NOT_STUCK(a) (FREE(a) || now < given[a] + LIFE)

inline tick() {
    now++;
    assert(NOT_STUCK(0) && NOT_STUCK(1))
}

active proctype system() {
    byte a, n, r, at, s;
end: do
    STEPS(0)
    STEPS(1)
    :: atomic { now < LAST_TIME && !LATE_TO_SHOW(0) && !LATE_TO_SHOW(1) -> tick() }
    :: atomic { !changed -> changed = true }
    :: atomic { net ?? grant, a, n, r, at, s -> receiveGrant(); a = 0; n = 0; r = 0; at = 0; s = 0 }
    :: atomic { net ?? <grant, a, n, r, at, s> -> receiveGrant(); a = 0; n = 0; r = 0; at = 0; s = 0 }
    :: atomic { net ?? decline, a, n, r, at, s -> receiveDecline(); a = 0; n = 0; r = 0; at = 0; s = 0 }
    :: atomic { net ?? <decline, a, n, r, at, s> -> receiveDecline(); a = 0; n = 0; r = 0; at = 0; s = 0 }
    od
}
