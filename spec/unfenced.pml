/*
 * Duties at endpoints that don't compare fences (packages internal/authority and
 * internal/stagecontrol, docs/design/unfenced-duties.md).
 *
 * Two nodes, two engines, and the platform's API. The lease is as in storelease.pml, here
 * without its clocks: it may expire at any time, and is taken only when nobody else can hold
 * it. An order is recorded in a row of the store before it is sent; writes may be carried out
 * at any later time, even after their sender has stopped waiting for them. An order in transit
 * arrives or is lost; an engine carries it out at once, or leaves it unanswered and carries it
 * out at any later time up to a bound. A node may pause between any two steps; when its lease
 * ends, the kernel drops its call in transit.
 *
 * Properties: no engine receives or carries out an order with a lower fence than it has
 * received or carried out before; no call to the API that its own sender has abandoned is
 * carried out after a newer one with a higher fence.
 *
 * Not modelled: a call to the API that the platform itself carries out after a call of the next
 * holder. The API offers neither conditional calls nor reading back; the effect of such a call
 * is corrected by a later one (internal/fleetsize), or has the same content (usage.pml).
 *
 * Guards, each removed by a macro:
 *   NO_DEADLINE        a call may go on after the lease of its sender has ended
 *   NO_RECHECK         a node sends an order without checking its lease again
 *   NO_RECORD          an order is sent without being recorded before
 *   NO_READ            a new holder doesn't read the recorded orders of the one before
 *   NO_ROW_VERSION     orders are recorded whatever version the row has
 *   NO_WAIT            an engine is sent an order while an earlier one may still be carried out
 *   FORGET_EARLY       an unanswered order is forgotten before the bound
 *   NEW_FENCE          a node that takes its own lease again raises its fence
 */
#define LAST_VERSION 2
#define LAST_ROW 3
#define NONE 2                  /* no engine */

byte version = 0;               /* of the lease's row, which is the fence of its holder */
byte owner = NONE;              /* node that wrote that row last */
byte row = 0;                   /* recorded orders: the set of engines that may have one */
byte rowVersion = 0;

bool holds[2]; byte fence[2];   /* the node's lease */
bool hasRead[2];                /* it has read the recorded orders since it took the lease */
byte avoids[2];                 /* set of the engines to which it sends no order */
byte known[2]; bool isKnown[2]; /* version of the recorded orders, as far as the node knows it */

/* The write that a node waits for, and one for which it has stopped waiting. */
bool writing[2]; byte bits[2]; byte underLease[2]; byte underRow[2]; byte target[2];
bool lateWrite[2]; byte lateBits[2]; byte lateUnderLease[2]; byte lateUnderRow[2];

bool decided[2]; byte sendTo[2];             /* an order is about to be sent */
bool inTransit[2]; byte transitTo[2]; byte transitFence[2];
byte lateOrder[4];              /* by node and engine: fence of an unanswered order */
byte received[2]; byte executed[2];          /* highest fences, by engine */

byte lateCall[2]; byte calls = 0;   /* abandoned API calls; fence of the call carried out last */

#define BIT(e) (1 << (e))
#define LATE(i, e) lateOrder[2 * (i) + (e)]
/* The bound covers orders that an engine has received. An order that is still to be sent or in
 * transit keeps only its own sender from forgetting it (IDLE). */
#define PENDING(e) (LATE(0, e) != 0 || LATE(1, e) != 0)

#ifdef NO_RECHECK
#define MAY_SEND(i) true
#else
#define MAY_SEND(i) holds[i]
#endif
#ifdef NO_WAIT
#define AVOIDS(i, e) false
#else
#define AVOIDS(i, e) ((avoids[i] & BIT(e)) != 0)
#endif
#ifdef FORGET_EARLY
#define MAY_FORGET(e) true
#else
#define MAY_FORGET(e) !PENDING(e)
#endif
#ifdef NO_ROW_VERSION
#define SAME_ROW(v) true
#else
#define SAME_ROW(v) (rowVersion == (v))
#endif

inline takeLease(i) {
    holds[i] = true;
    if
#ifndef NEW_FENCE
    :: owner == i -> skip
    :: owner != i ->
#else
    :: true ->
#endif
        version++; owner = i; fence[i] = version; hasRead[i] = false;
        lateCall[1 - i] = 0
    fi
}

inline expire(i) {
    holds[i] = false;
#ifndef NO_DEADLINE
    inTransit[i] = false; transitTo[i] = 0; transitFence[i] = 0
#endif
}

inline readRow(i) {
#ifndef NO_READ
    if
    :: !hasRead[i] -> avoids[i] = avoids[i] | row
    :: else
    fi;
#endif
    hasRead[i] = true; known[i] = rowVersion; isKnown[i] = true
}

inline proposeRecord(i, e) {
#ifdef NO_RECORD
    avoids[i] = avoids[i] | BIT(e); decided[i] = true; sendTo[i] = e
#else
    writing[i] = true; bits[i] = avoids[i] | BIT(e); target[i] = e;
    underLease[i] = version; underRow[i] = known[i]
#endif
}

inline clearWrite(i) {
    writing[i] = false; bits[i] = 0; underLease[i] = 0; underRow[i] = 0; target[i] = 0
}

/* The write is carried out and answered. */
inline record(i) {
    if
    :: version == underLease[i] && SAME_ROW(underRow[i]) && rowVersion < LAST_ROW ->
        row = bits[i]; rowVersion++; known[i] = rowVersion;
        avoids[i] = avoids[i] | BIT(target[i]); decided[i] = true; sendTo[i] = target[i]
    :: else -> isKnown[i] = false
    fi;
    clearWrite(i)
}

inline abandonWrite(i) {
    lateWrite[i] = true; lateBits[i] = bits[i];
    lateUnderLease[i] = underLease[i]; lateUnderRow[i] = underRow[i];
    isKnown[i] = false;
    clearWrite(i)
}

inline recordLate(i) {
    if
    :: version == lateUnderLease[i] && SAME_ROW(lateUnderRow[i]) && rowVersion < LAST_ROW ->
        row = lateBits[i]; rowVersion++
    :: else
    fi;
    lateWrite[i] = false; lateBits[i] = 0; lateUnderLease[i] = 0; lateUnderRow[i] = 0
}

inline carryOut(e, f) {
    assert((f) >= executed[e]);
    executed[e] = f
}

inline arrive(i) {
    assert(transitFence[i] >= received[transitTo[i]]);
    received[transitTo[i]] = transitFence[i];
    if
    :: carryOut(transitTo[i], transitFence[i]); avoids[i] = avoids[i] & ~BIT(transitTo[i])
    :: carryOut(transitTo[i], transitFence[i])
    :: LATE(i, transitTo[i]) == 0 -> LATE(i, transitTo[i]) = transitFence[i]
    fi;
    inTransit[i] = false; transitTo[i] = 0; transitFence[i] = 0
}

inline call(i) {
    assert(fence[i] >= calls);
    calls = fence[i]
}

#define IDLE(i) (!writing[i] && !decided[i] && !inTransit[i])

#define ORDER_STEPS(i, e) \
    :: atomic { holds[i] && hasRead[i] && isKnown[i] && IDLE(i) && !AVOIDS(i, e) && rowVersion < LAST_ROW -> proposeRecord(i, e) } \
    :: atomic { (avoids[i] & BIT(e)) != 0 && IDLE(i) && MAY_FORGET(e) -> avoids[i] = avoids[i] & ~BIT(e) } \
    :: atomic { LATE(i, e) != 0 -> carryOut(e, LATE(i, e)); LATE(i, e) = 0 }

#define STEPS(i) \
    :: atomic { !holds[i] && !holds[1 - i] && (version < LAST_VERSION || owner == i) && CAN_RISE(i) -> takeLease(i) } \
    :: atomic { holds[i] -> expire(i) } \
    :: atomic { holds[i] && (!hasRead[i] || !isKnown[i]) && !writing[i] -> readRow(i) } \
    :: atomic { writing[i] -> record(i) } \
    :: atomic { writing[i] && !lateWrite[i] -> abandonWrite(i) } \
    :: atomic { lateWrite[i] -> recordLate(i) } \
    :: atomic { decided[i] && MAY_SEND(i) -> \
        decided[i] = false; inTransit[i] = true; transitTo[i] = sendTo[i]; transitFence[i] = fence[i]; sendTo[i] = 0 } \
    :: atomic { decided[i] && !holds[i] -> decided[i] = false; sendTo[i] = 0 } \
    :: atomic { inTransit[i] -> arrive(i) } \
    :: atomic { inTransit[i] -> inTransit[i] = false; transitTo[i] = 0; transitFence[i] = 0 } \
    :: atomic { holds[i] -> call(i) } \
    :: atomic { holds[i] && lateCall[i] == 0 -> lateCall[i] = fence[i] } \
    :: atomic { lateCall[i] != 0 -> assert(lateCall[i] >= calls); calls = lateCall[i]; lateCall[i] = 0 } \
    ORDER_STEPS(i, 0) \
    ORDER_STEPS(i, 1)

#ifdef NEW_FENCE
#define CAN_RISE(i) (version < LAST_VERSION)
#else
#define CAN_RISE(i) true
#endif

active proctype system() {
end: do
    STEPS(0)
    STEPS(1)
    od
}
