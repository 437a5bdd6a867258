/*
 * Duties before endpoints that don't compare fences (packages internal/authority and
 * internal/stagecontrol, docs/design/unfenced-duties.md).
 *
 * Two nodes, two engines, and the platform's API. The lease is as in storelease.pml, here
 * without its clocks: it may lapse at any time, and is taken only when nobody else can
 * hold it. An order is written to a row of the store before it is sent; writes are carried
 * out at any later time, also after their sender has given them up. An order on its way
 * arrives or is lost; an engine carries it out at once, or leaves it unanswered and carries
 * it out at any later time until a bound. A node may pause between any two steps, and its
 * call on the way is dropped by the kernel when the lease ends.
 *
 * Properties: no engine receives an order of a lower fence than it has received, nor
 * carries one out; no call to the API that its own sender gave up is carried out behind a
 * newer one with a higher fence.
 *
 * Not modelled: a call to the API that the platform itself carries out behind one of the
 * next holder. It offers neither a condition nor reading back; what such a call changed is
 * ordered back (internal/fleetsize), or has the same content (usage.pml).
 *
 * Guards, each removed by a macro:
 *   NO_DEADLINE        a call may go on after the lease of its sender has ended
 *   NO_RECHECK         a node sends an order without looking at its lease again
 *   NO_RECORD          an order is sent without being written down before
 *   NO_READ            a new holder doesn't read the orders of the one before
 *   NO_ROW_VERSION     orders are written down over whatever version the row has
 *   NO_WAIT            an engine is ordered while an earlier order may be carried out
 *   FORGET_EARLY       an unanswered order is forgotten before the bound
 *   NEW_FENCE          a node that takes its own lease again raises its fence
 */
#define LAST_VERSION 2
#define LAST_ROW 3
#define NONE 2                  /* no engine */

byte version = 0;               /* of the lease's row: the fence of its holder */
byte owner = NONE;              /* node that wrote it */
byte row = 0;                   /* set of the engines that may have an order */
byte rowVersion = 0;

bool holds[2]; byte fence[2];   /* the node's lease */
bool hasRead[2];                /* the row, since it took the lease */
byte waits[2];                  /* set of the engines that it leaves alone */
byte known[2]; bool isKnown[2]; /* version of the row */

/* The write that a node waits for, and one that it has given up. */
bool writing[2]; byte bits[2]; byte underLease[2]; byte underRow[2]; byte target[2];
bool lateWrite[2]; byte lateBits[2]; byte lateUnderLease[2]; byte lateUnderRow[2];

bool decided[2]; byte sendTo[2];             /* an order is about to be sent */
bool onWay[2]; byte wayTo[2]; byte wayFence[2];
byte lateOrder[4];              /* by node and engine: fence of an order left unanswered */
byte received[2]; byte carried[2];           /* highest fences, by engine */

byte lateCall[2]; byte calls = 0;            /* to the API */

#define BIT(e) (1 << (e))
#define LATE(i, e) lateOrder[2 * (i) + (e)]
/* The bound covers what an engine has received. What is still to be sent or on its way keeps
 * its own sender from forgetting it (IDLE), and nobody else. */
#define PENDING(e) (LATE(0, e) != 0 || LATE(1, e) != 0)

#ifdef NO_RECHECK
#define MAY_SEND(i) true
#else
#define MAY_SEND(i) holds[i]
#endif
#ifdef NO_WAIT
#define ALONE(i, e) false
#else
#define ALONE(i, e) ((waits[i] & BIT(e)) != 0)
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

inline lapse(i) {
    holds[i] = false;
#ifndef NO_DEADLINE
    onWay[i] = false; wayTo[i] = 0; wayFence[i] = 0
#endif
}

inline readRow(i) {
#ifndef NO_READ
    if
    :: !hasRead[i] -> waits[i] = waits[i] | row
    :: else
    fi;
#endif
    hasRead[i] = true; known[i] = rowVersion; isKnown[i] = true
}

inline proposeRecord(i, e) {
#ifdef NO_RECORD
    waits[i] = waits[i] | BIT(e); decided[i] = true; sendTo[i] = e
#else
    writing[i] = true; bits[i] = waits[i] | BIT(e); target[i] = e;
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
        waits[i] = waits[i] | BIT(target[i]); decided[i] = true; sendTo[i] = target[i]
    :: else -> isKnown[i] = false
    fi;
    clearWrite(i)
}

inline giveWriteUp(i) {
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
    assert((f) >= carried[e]);
    carried[e] = f
}

inline arrive(i) {
    assert(wayFence[i] >= received[wayTo[i]]);
    received[wayTo[i]] = wayFence[i];
    if
    :: carryOut(wayTo[i], wayFence[i]); waits[i] = waits[i] & ~BIT(wayTo[i])
    :: carryOut(wayTo[i], wayFence[i])
    :: LATE(i, wayTo[i]) == 0 -> LATE(i, wayTo[i]) = wayFence[i]
    fi;
    onWay[i] = false; wayTo[i] = 0; wayFence[i] = 0
}

inline call(i) {
    assert(fence[i] >= calls);
    calls = fence[i]
}

#define IDLE(i) (!writing[i] && !decided[i] && !onWay[i])

#define ORDER_STEPS(i, e) \
    :: atomic { holds[i] && hasRead[i] && isKnown[i] && IDLE(i) && !ALONE(i, e) && rowVersion < LAST_ROW -> proposeRecord(i, e) } \
    :: atomic { (waits[i] & BIT(e)) != 0 && IDLE(i) && MAY_FORGET(e) -> waits[i] = waits[i] & ~BIT(e) } \
    :: atomic { LATE(i, e) != 0 -> carryOut(e, LATE(i, e)); LATE(i, e) = 0 }

#define STEPS(i) \
    :: atomic { !holds[i] && !holds[1 - i] && (version < LAST_VERSION || owner == i) && CAN_RISE(i) -> takeLease(i) } \
    :: atomic { holds[i] -> lapse(i) } \
    :: atomic { holds[i] && (!hasRead[i] || !isKnown[i]) && !writing[i] -> readRow(i) } \
    :: atomic { writing[i] -> record(i) } \
    :: atomic { writing[i] && !lateWrite[i] -> giveWriteUp(i) } \
    :: atomic { lateWrite[i] -> recordLate(i) } \
    :: atomic { decided[i] && MAY_SEND(i) -> \
        decided[i] = false; onWay[i] = true; wayTo[i] = sendTo[i]; wayFence[i] = fence[i]; sendTo[i] = 0 } \
    :: atomic { decided[i] && !holds[i] -> decided[i] = false; sendTo[i] = 0 } \
    :: atomic { onWay[i] -> arrive(i) } \
    :: atomic { onWay[i] -> onWay[i] = false; wayTo[i] = 0; wayFence[i] = 0 } \
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
