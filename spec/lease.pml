/*
 * Leader leases within one epoch of a replica group (package internal/replica).
 *
 * Three members; time is a global counter; messages are delayed, lost and received in
 * any order. An election is one step: a vote binds the voter as soon as it is sent, so
 * a delay of the vote could only make the election later.
 *
 * Property: at most one member holds a valid lease at any time.
 *
 * The rule that a leader with a valid lease votes for nobody else is not among the
 * guards: it keeps leadership stable, but the checker finds no counterexample without
 * it, since a vote ends the voter's own leadership at once.
 *
 * Guards, each removed by a macro:
 *   NO_PROMISE         a follower votes although its promise to a leader is still valid
 *   LEASE_FROM_RECEIPT  the leader counts its lease from the receipt of the answer
 *                      instead of from the sending of the heartbeat
 *   NO_TERM_CHECK      a follower accepts heartbeats of a leader with an older term
 */
#define N 3
#define LEASE 2
#define LAST_TIME 5
#define LAST_TERM 3
#define NETWORK 2

mtype = { heartbeat, answer };

byte now = 0;
byte term[N];
byte promise[N];                /* time until which it has promised a leader not to vote */
bool leader[N];
byte acked[9];                  /* at leader * N + follower: 1 + sending time of the heartbeat answered last */
#ifdef NO_PROMISE
#define UNBOUND(i, j) true
#else
#define UNBOUND(i, j) (promise[i] <= now && promise[j] <= now)
#endif
#ifdef NO_TERM_CHECK
#define OBEYS(t, m) true
#else
#define OBEYS(t, m) (t >= term[m])
#endif

chan net = [NETWORK] of { mtype, byte, byte, byte, byte };

#define COUNTED(i, j) (acked[(i) * N + (j)] != 0 && now < acked[(i) * N + (j)] - 1 + LEASE)
#define VALID(i) (leader[i] && (COUNTED(i, ((i) + 1) % N) || COUNTED(i, ((i) + 2) % N)))

inline clear(i) {
    acked[i * N] = 0; acked[i * N + 1] = 0; acked[i * N + 2] = 0;
}

inline elect(i, j) {
    /* i is a candidate, j votes for it */
    if
    :: term[i] >= term[j] -> newTerm = term[i] + 1
    :: else -> newTerm = term[j] + 1
    fi;
    leader[j] = false; clear(j);
    term[i] = newTerm; term[j] = newTerm;
    leader[i] = true; clear(i)
}

active proctype group() {
    byte newTerm, from, to, itsTerm, sent;
    byte i, j;
end:
    do
    :: atomic { now < LAST_TIME -> now++ }
    :: atomic {
        select(i : 0 .. 2); select(j : 0 .. 2);
        if
        :: i != j && term[i] < LAST_TERM && term[j] < LAST_TERM && !VALID(i) && UNBOUND(i, j) -> elect(i, j)
        :: else
        fi;
        newTerm = 0; i = 0; j = 0 }
    :: atomic {
        select(i : 0 .. 2); select(j : 0 .. 2);
        if
        :: i != j && leader[i] && len(net) < NETWORK -> net ! heartbeat, i, j, term[i], now
        :: else
        fi;
        i = 0; j = 0 }
    :: atomic { net ?? heartbeat, from, to, itsTerm, sent ->
        if
        :: OBEYS(itsTerm, to) ->
            term[to] = itsTerm; leader[to] = false; clear(to);
            promise[to] = now + LEASE;
            if
            :: len(net) < NETWORK -> net ! answer, to, from, itsTerm, sent
            :: else
            fi
        :: else
        fi;
        from = 0; to = 0; itsTerm = 0; sent = 0 }
    :: atomic { net ?? answer, from, to, itsTerm, sent ->
        if
        :: leader[to] && term[to] == itsTerm ->
#ifdef LEASE_FROM_RECEIPT
            sent = now;
#endif
            if
            :: acked[to * N + from] < sent + 1 -> acked[to * N + from] = sent + 1
            :: else
            fi
        :: else
        fi;
        from = 0; to = 0; itsTerm = 0; sent = 0 }
    :: atomic { net ?? _, _, _, _, _ }   /* lost */
    od
}

active proctype monitor() {
end:
    atomic {
        (VALID(0) && VALID(1)) || (VALID(0) && VALID(2)) || (VALID(1) && VALID(2)) ->
        assert(false)
    }
}
