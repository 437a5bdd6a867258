/*
 * Orders to one engine (packages internal/control and internal/cell).
 *
 * Two leaders succeed each other; the first may be paused at any point and go on in
 * the belief that it still leads. The engine crashes, loses its fence, and restarts
 * as another incarnation. Orders are delayed, lost, duplicated and reordered; answers
 * are lost. A claim is a leader's first order to an incarnation, which makes the engine
 * refuse earlier leaders; it is not the ledger's claim of an idempotency key (claim.pml).
 *
 * Properties:
 *   - an order takes effect only under a fence at least as high as every fence
 *     under which the engine was claimed, in any incarnation;
 *   - the orders of one leader to one incarnation take effect in the order in which
 *     they were sent;
 *   - a leader never sends an order while an earlier one of its own to the same
 *     incarnation may still take effect;
 *   - no order takes effect that was sent after its sender's lease had ended;
 *   - in an incarnation that a leader has not yet claimed, no order of that leader
 *     takes effect but a claim.
 *
 * Guards, each removed by a macro:
 *   NO_FENCE           the engine carries out orders with a lower fence
 *   NO_INCARNATION     the engine carries out orders that name another incarnation
 *   NO_LEASE_RECHECK   a leader that was paused does not check its lease again
 *                      before it sends an order
 *   NO_SEQUENCE        the engine carries out an older order of the same leader
 *   NO_ASKING          a leader treats a lost answer as a refusal, instead of reading
 *                      from the engine whether the order took effect
 *   NO_CLAIM           a leader sends other orders without a claim before them
 */
#define LAST_INCARNATION 2
#define LAST_SEQUENCE 4
#define NETWORK 3

mtype = { claim, deploy };

byte lease = 1;                 /* the leader whose lease holds; 0: none */

/* engine */
byte incarnation = 1;
byte fence = 0;
byte sequence = 0;
byte lastOrder = 0;             /* fence * 16 + sequence of the last order */

/* ghost variables, which only the assertions read */
byte claimedFence = 0;          /* highest fence of a claim that took effect */
byte doneSequence[3];           /* by fence: last order that took effect in this incarnation */
bool claimedBy[3];              /* by fence: this incarnation was claimed */

/* type, fence, sequence, incarnation, and as a ghost whether it was sent without a lease */
chan orders = [NETWORK] of { mtype, byte, byte, byte, bool };

/* an order of leader f that may still take effect */
#define PENDING(f, s, i) \
    ((s) > doneSequence[f] && (i) == incarnation && \
     (orders ?? [claim, eval(f), eval(s), eval(i), _] || orders ?? [deploy, eval(f), eval(s), eval(i), _]))

proctype leader(byte me) {
    byte seen = 0;              /* incarnation in the status read last */
    byte known = 0;             /* incarnation in which its claim took effect */
    byte next = 1;
    byte open = 0;              /* sequence of the unresolved order */
    byte openFor = 0;
    mtype openType;
    bool mayOrder;
    lease == me;
end:
    do
    :: /* read the engine's status, which tells whether the unresolved order took effect */
       atomic {
        if
        :: incarnation != seen -> seen = incarnation; open = 0; openFor = 0
        :: else
        fi;
        if
        :: open != 0 && lastOrder == me * 16 + open ->
            if
            :: openType == claim -> known = incarnation
            :: else
            fi;
            open = 0; openFor = 0
        :: else
        fi }
    :: /* order: the lease is checked, any time may pass, then the order is sent */
       seen != 0 && next <= LAST_SEQUENCE ->
       mayOrder = (lease == me);
       skip;                    /* a pause of any length */
       atomic {
        if
#ifndef NO_LEASE_RECHECK
        :: lease == me && nfull(orders) ->
#else
        :: mayOrder && nfull(orders) ->
#endif
            if
            :: open != 0 ->     /* resend the unresolved order */
                orders ! openType, me, open, openFor, (lease != me)
            :: open == 0 ->
                assert(!PENDING(me, 1, seen) && !PENDING(me, 2, seen) && !PENDING(me, 3, seen));
                if
#ifndef NO_CLAIM
                :: known != seen -> openType = claim
                :: known == seen -> openType = deploy
#else
                :: openType = deploy
#endif
                fi;
                open = next; openFor = seen; next++;
                orders ! openType, me, open, openFor, (lease != me)
            fi
        :: else
        fi;
        mayOrder = false }
#ifdef NO_ASKING
    :: atomic { open != 0 -> open = 0; openFor = 0 }
#endif
    od
}

inline effect(kind, f, s) {
    assert(!leaseless);
    assert(f >= claimedFence);
    assert(s > doneSequence[f]);
    assert(kind == claim || claimedBy[f]);
    doneSequence[f] = s;
    if
    :: kind == claim -> claimedBy[f] = true; claimedFence = f
    :: else
    fi;
    lastOrder = f * 16 + s
}

active proctype engine() {
    mtype kind;
    byte f, s, i;
    bool leaseless;
end:
    do
    :: atomic { orders ?? kind, f, s, i, leaseless ->
        if
#ifndef NO_INCARNATION
        :: i != incarnation             /* refused */
#endif
#ifndef NO_FENCE
        :: f < fence                    /* refused */
#endif
        :: lastOrder == f * 16 + s      /* a duplicate: answered as before */
#ifndef NO_SEQUENCE
        :: f == fence && s <= sequence  /* refused */
#endif
        :: else ->
            fence = f; sequence = s;
            effect(kind, f, s)
        fi;
        f = 0; s = 0; i = 0; leaseless = false }
    :: atomic { orders ?? kind, f, s, i, leaseless -> f = 0; s = 0; i = 0; leaseless = false }            /* lost */
    :: atomic { orders ?? [kind, f, s, i, leaseless] && nfull(orders) ->               /* duplicated */
        orders ?? <kind, f, s, i, leaseless>; orders ! kind, f, s, i, leaseless; f = 0; s = 0; i = 0; leaseless = false }
    :: atomic { incarnation < LAST_INCARNATION ->
        incarnation++; fence = 0; sequence = 0; lastOrder = 0;
        doneSequence[1] = 0; doneSequence[2] = 0;
        claimedBy[1] = false; claimedBy[2] = false }
    :: atomic { lease == 1 -> lease = 0 }
    :: atomic { lease == 0 -> lease = 2 }
    od
}

init {
    atomic { run leader(1); run leader(2) }
}
