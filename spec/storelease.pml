/*
 * The authority to give orders as a lease in one row of a store with conditional
 * writes (package internal/lease), and the orders given under it.
 *
 * Two nodes; times are kept as ages and remainders that all advance by a tick, so
 * time itself has no end in the model; writes to the store are carried out at any
 * later time, also after their sender has given them up, and answered at any time
 * after that or never. Orders to a worker are carried out at any later time. A node
 * may pause between deciding on an order and sending it.
 *
 * Properties: at most one node holds the lease at any time; an order leaves its node
 * only while that node holds the lease; a worker carries out no order of a lower
 * fence after one of a higher.
 *
 * Guards, each removed by a macro:
 *   NO_WAIT            a node takes the lease without having seen the row unchanged
 *                      for a whole life
 *   FROM_ANSWER        a holder counts its lease from the answer to its write instead
 *                      of from the sending
 *   NO_CONDITION       writes are carried out whatever version the row has
 *   NO_RECHECK         a node sends an order that it decided on without looking at its
 *                      lease again
 *   NO_FENCE           the worker does not compare fences
 */
#define LIFE 2
#define LAST_VERSION 3
#define REFUSED 255

byte version = 0;               /* of the row; zero: there is none */

byte seen[2];                   /* 1 + version that the node saw last, 0: none yet */
byte seenFor[2];                /* for how long it has seen that version, LIFE at most */
byte left[2];                   /* what is left of the node's lease */
byte fence[2];                  /* of that lease */
bool decided[2];                /* an order is about to be sent */

/* The write that a node waits for, and one that it has given up. */
bool pending[2]; byte condition[2]; byte sentFor[2]; bool takes[2];
bool late[2]; byte lateCondition[2];
byte result[2];                 /* version at which the pending write was carried out */

bool ordered[2]; byte orderFence[2]; /* an order on its way to the worker */
byte highest = 0;               /* fence that the worker carried out last */

#define HOLDS(i) (left[i] > 0)

#ifdef NO_WAIT
#define FREE(i) true
#else
#define FREE(i) (seen[i] == 1 || seenFor[i] == LIFE)
#endif
#ifdef FROM_ANSWER
#define TAKEN_OFF(i) 0
#else
#define TAKEN_OFF(i) sentFor[i]
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

inline propose(i, take) {
    pending[i] = true; condition[i] = seen[i] - 1; sentFor[i] = 0; takes[i] = take; result[i] = 0;
}

/* Everything that one node, the store on its behalf, and the worker may do next. */
#define STEPS(i) \
    :: d_step { seen[i] != version + 1 -> seen[i] = version + 1; seenFor[i] = 0 } \
    :: d_step { MAY_WRITE(i) && HOLDS(i) -> propose(i, false) } \
    :: d_step { MAY_WRITE(i) && !HOLDS(i) && FREE(i) -> propose(i, true) } \
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

/* What no longer matters is cleared, so that like states are one. */
inline forget(i) {
    if
    :: left[i] == 0 -> fence[i] = 0
    :: else
    fi
}

inline tick(i) {
    if
    :: seenFor[i] < LIFE -> seenFor[i]++
    :: else
    fi;
    if
    :: pending[i] && sentFor[i] < LIFE -> sentFor[i]++
    :: else
    fi;
    if
    :: left[i] > 0 -> left[i]--
    :: else
    fi;
    forget(i)
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
        :: takes[i] -> fence[i] = result[i]
        :: else
        fi;
        left[i] = LIFE - TAKEN_OFF(i);
        if
        :: seen[i] < result[i] + 1 -> seen[i] = result[i] + 1; seenFor[i] = 0
        :: else
        fi
    :: else
    fi;
    result[i] = 0; condition[i] = 0; sentFor[i] = 0; takes[i] = false;
    forget(i)
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
