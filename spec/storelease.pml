/*
 * The lease that allows a node to give orders, kept in one row of a store with conditional
 * writes (package internal/lease), and the orders given under it.
 *
 * Two nodes. Instead of clock times the model keeps ages and remaining times, which all
 * advance by a tick, so that time in the model has no end. Writes to the store may be carried
 * out at any later time, even after their sender has stopped waiting for them, and are
 * answered at any time after that or never. Orders to an engine are carried out at any later
 * time. A node may pause between deciding on an order and sending it.
 *
 * Properties: at most one node holds the lease at any time; a node sends an order only while
 * it holds the lease; an engine carries out no order with a lower fence after one with a
 * higher.
 *
 * Guards, each removed by a macro:
 *   NO_WAIT            a node takes the lease without having seen the row unchanged for
 *                      the whole duration of a lease
 *   FROM_ANSWER        a holder counts its lease from the answer to its write instead of
 *                      from the sending
 *   NO_CONDITION       writes are carried out whatever version the row has
 *   NO_RECHECK         a node sends an order that it decided on without checking its lease
 *                      again
 *   NO_FENCE           the engine does not compare fences
 */
#define LEASE 2
#define LAST_VERSION 3
#define REFUSED 255

byte version = 0;               /* of the row, 0: there is none */

byte seen[2];                   /* 1 + version that the node read last, 0: none yet */
byte seenFor[2];                /* for how long it has seen that version, at most LEASE */
byte left[2];                   /* remaining time of the node's lease */
byte fence[2];                  /* of that lease */
bool decided[2];                /* an order is about to be sent */

/* The write that a node waits for, and one for which it has stopped waiting. */
bool pending[2]; byte condition[2]; byte sentFor[2]; bool takesLease[2];
bool late[2]; byte lateCondition[2];
byte result[2];                 /* row version after the pending write, REFUSED, or 0: none yet */

bool ordered[2]; byte orderFence[2]; /* an order in transit to the engine */
byte highest = 0;               /* fence that the engine carried out last */

#define HOLDS(i) (left[i] > 0)

#ifdef NO_WAIT
#define FREE(i) true
#else
#define FREE(i) (seen[i] == 1 || seenFor[i] == LEASE)
#endif
#ifdef FROM_ANSWER
#define ELAPSED(i) 0
#else
#define ELAPSED(i) sentFor[i]
#endif
#ifdef NO_CONDITION
#define MATCHES(v) true
#else
#define MATCHES(v) (version == (v))
#endif
#ifdef NO_RECHECK
#define MAY_SEND(i) true
#else
#define MAY_SEND(i) HOLDS(i)
#endif
#ifdef NO_FENCE
#define ACCEPTS(f) true
#else
#define ACCEPTS(f) ((f) >= highest)
#endif

inline startWrite(i, takeLease) {
    pending[i] = true; condition[i] = seen[i] - 1; sentFor[i] = 0; takesLease[i] = takeLease; result[i] = 0;
}

/* Every step that a node, the store on its behalf, and the engine may take. */
#define STEPS(i) \
    :: d_step { seen[i] != version + 1 -> seen[i] = version + 1; seenFor[i] = 0 } \
    :: d_step { MAY_WRITE(i) && HOLDS(i) -> startWrite(i, false) } \
    :: d_step { MAY_WRITE(i) && !HOLDS(i) && FREE(i) -> startWrite(i, true) } \
    :: d_step { pending[i] && result[i] == 0 -> carryOut(i) } \
    :: d_step { pending[i] && result[i] != 0 -> answer(i) } \
    :: d_step { pending[i] && result[i] == 0 && !late[i] -> \
        pending[i] = false; late[i] = true; lateCondition[i] = condition[i] } \
    :: d_step { late[i] -> carryOutLate(i) } \
    :: d_step { HOLDS(i) && !decided[i] && !ordered[i] -> decided[i] = true } \
    :: d_step { decided[i] && MAY_SEND(i) -> \
        decided[i] = false; assert(HOLDS(i)); ordered[i] = true; orderFence[i] = fence[i] } \
    :: d_step { decided[i] && !HOLDS(i) -> decided[i] = false } \
    :: d_step { ordered[i] -> carryOutOrder(i) }

#define MAY_WRITE(i) (seen[i] != 0 && !pending[i] && version < LAST_VERSION)

/* The fence of an expired lease is cleared, so that states which differ in it alone are one. */
inline clearFence(i) {
    if
    :: left[i] == 0 -> fence[i] = 0
    :: else
    fi
}

inline tick(i) {
    if
    :: seenFor[i] < LEASE -> seenFor[i]++
    :: else
    fi;
    if
    :: pending[i] && sentFor[i] < LEASE -> sentFor[i]++
    :: else
    fi;
    if
    :: left[i] > 0 -> left[i]--
    :: else
    fi;
    clearFence(i)
}

inline carryOut(i) {
    if
    :: MATCHES(condition[i]) && version < LAST_VERSION -> version++; result[i] = version
    :: else -> result[i] = REFUSED
    fi
}

inline carryOutLate(i) {
    if
    :: MATCHES(lateCondition[i]) && version < LAST_VERSION -> version++
    :: else
    fi;
    late[i] = false; lateCondition[i] = 0
}

inline answer(i) {
    pending[i] = false;
    if
    :: result[i] != REFUSED ->
        if
        :: takesLease[i] -> fence[i] = result[i]
        :: else
        fi;
        left[i] = LEASE - ELAPSED(i);
        if
        :: seen[i] < result[i] + 1 -> seen[i] = result[i] + 1; seenFor[i] = 0
        :: else
        fi
    :: else
    fi;
    result[i] = 0; condition[i] = 0; sentFor[i] = 0; takesLease[i] = false;
    clearFence(i)
}

inline carryOutOrder(i) {
    if
    :: ACCEPTS(orderFence[i]) -> assert(orderFence[i] >= highest); highest = orderFence[i]
    :: else
    fi;
    ordered[i] = false; orderFence[i] = 0
}

active proctype System() {
    do
    STEPS(0)
    STEPS(1)
    :: d_step { true -> tick(0); tick(1) }
    :: d_step { HOLDS(0) && HOLDS(1) -> assert(false) }
    od
}
