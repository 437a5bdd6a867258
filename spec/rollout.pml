/*
 * Acceptance and distribution of configuration revisions (package internal/rollout).
 *
 * Two operators race with one operation each; the answer to a write may be lost after the
 * write took effect, and the operator's node then tries again. Two nodes learn revisions
 * by push and pull in any order, and restart. A restarted node reads the revision from the
 * table before it serves. (In reality it may ask a majority of the other nodes instead; its
 * peers must then know the revision that it served before.)
 *
 * Properties:
 *   - each operation is accepted at most once;
 *   - a revision number never has two contents;
 *   - a node never goes back to a lower revision while it runs, and a restarted node does
 *     not serve a lower revision than it served before.
 *
 * Guards, each removed by a macro:
 *   NO_CONDITION       the table accepts a revision without comparing the head
 *   NO_OPERATION_ID    a repeated operation is taken for a new one
 *   TAKE_LOWER         a node takes any revision that it is sent, also a lower one
 *   SERVE_AT_ONCE      a restarted node serves before it has read the table
 */
#define LAST_REVISION 3

byte head = 0;
byte content[4];                /* by revision: the operation */
byte accepted[3];               /* ghost: times that an operation was accepted */
bool known[3];                  /* the table's record of operations */

byte revision[2];               /* in force at a node */
bool serving[2];
byte served[2];                 /* ghost: highest revision a node has served */

chan push = [3] of { byte, byte };

inline write(operation, expected) {
    /* one conditional transaction: head, log and operation record */
    if
#ifndef NO_CONDITION
    :: head != expected
#endif
#ifndef NO_OPERATION_ID
    :: known[operation]
#endif
    :: else ->
        if
        :: expected + 1 <= LAST_REVISION ->
            assert(content[expected + 1] == 0 || content[expected + 1] == operation);
            head = expected + 1;
            content[expected + 1] = operation;
            known[operation] = true;
            accepted[operation]++;
            assert(accepted[operation] <= 1);
            if
            :: nfull(push) -> push ! 0, head
            :: true
            fi;
            if
            :: nfull(push) -> push ! 1, head
            :: true
            fi
        :: else
        fi
    fi
}

proctype operator(byte operation) {
    byte expected;
    byte tries = 0;
    do
    :: tries < 2 ->
        atomic { expected = head };
        atomic { write(operation, expected) };
        tries++
        /* the answer may be lost: the same operation again */
    :: break
    od
}

inline take(n, r) {
    if
#ifndef TAKE_LOWER
    :: r > revision[n] -> revision[n] = r
    :: else
#else
    :: revision[n] = r
#endif
    fi;
    if
    :: serving[n] ->
        assert(revision[n] >= served[n]);
        served[n] = revision[n]
    :: else
    fi
}

active proctype nodes() {
    byte n, r;
    byte restarts = 0;
end:
    do
    :: atomic { push ?? n, r -> take(n, r); n = 0; r = 0 }
    :: atomic { push ?? n, r -> n = 0; r = 0 }              /* lost */
    :: atomic { revision[1] > revision[0] -> r = revision[1]; take(0, r); r = 0 }
    :: atomic { revision[0] > revision[1] -> r = revision[0]; take(1, r); r = 0 }
    :: atomic { restarts < 2 -> restarts++;
        if
        :: n = 0
        :: n = 1
        fi;
        revision[n] = 0; serving[n] = false; n = 0 }
    :: atomic {                                             /* begin to serve */
        if
        :: n = 0
        :: n = 1
        fi;
        if
        :: !serving[n] ->
#ifndef SERVE_AT_ONCE
            revision[n] = head;                             /* as the table says */
#endif
            serving[n] = true;
            assert(revision[n] >= served[n]);
            served[n] = revision[n]
        :: else
        fi;
        n = 0 }
    od
}

init {
    atomic { run operator(1); run operator(2) }
}
