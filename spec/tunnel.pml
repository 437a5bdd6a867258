/*
 * A request that goes to a worker through another node (packages internal/tunnel and
 * internal/workerconn).
 *
 * The node of the request opens a connection to a worker, over its own link or through another
 * node, and sends the request. The worker may run it, and sends an answer that ends with its
 * connection. The worker may be reset at any moment. The other node may end at any moment; its
 * system then closes its connections in order. The request may be tried again within its limit.
 *
 * Properties: an answer that the caller is told to be complete has all parts; a request that may
 * not be repeated runs once at most; one that is answered as not run has not run and never will.
 *
 * Guards, each removed by a macro:
 *   NO_FRAMES       the end of the connection between the nodes counts as the worker's
 *   NO_ABORT        the other node ends in order what the worker has reset
 *   NO_SEND_RESULT  the result of writing the request is not looked at when the connection ends
 *   NO_COUNT        the bytes on their way between the nodes are not counted at that end
 *   NO_WRITTEN      a tunnel that broke counts as one over which nothing was sent
 *   NO_ONE_WAY      the request is also written to a tunnel that comes after the node has turned
 *                   elsewhere
 */
#define PARTS 2
#define TRIES 3

bool repeatable;
byte runs = 0;                  /* runs that have begun */
byte late = 0;                  /* requests on their way that a worker may still run */
byte tries = 0;
bool mayHaveRun = false;
bool answered = false;

mtype = { IN_ORDER, BROKEN };

/* What the node sees of the end of a connection, and how many parts it got. */
mtype end;
byte got;

/* Parts of the request that the node has written, that have arrived at the other node, and that the worker's
 * machine has received. */
#define UPLOAD 2
byte written, arrived, received;

/* The worker resets its connection, and a write of the request takes the reset: the read that follows sees an
 * end in order. Who wrote knows the result. The other node tells how much it has passed on. */
inline cut(tunnel) {
    end = IN_ORDER;
    if
#ifndef NO_SEND_RESULT
    :: !tunnel || written < UPLOAD || received < arrived -> end = BROKEN
#endif
#ifndef NO_COUNT
    :: tunnel && received < written -> end = BROKEN
#endif
    :: else
    fi
}

/* The worker runs the request and answers. It ends in order after all parts, or is reset. */
inline answer(tunnel) {
    runs++;
    got = 0;
    written = 0;
    arrived = 0;
    received = 0;
    do
    :: written < UPLOAD -> written++
    :: tunnel && arrived < written -> arrived++
    :: received < (tunnel -> arrived : written) -> received++
    :: got < PARTS -> got++
    :: got == PARTS && received == UPLOAD -> end = IN_ORDER; break
    :: received < UPLOAD -> cut(tunnel); break
    :: end = BROKEN;
       if
#ifdef NO_ABORT
       :: tunnel -> end = IN_ORDER
#endif
       :: else
       fi;
       break
    :: tunnel ->                /* the other node ends; its system closes in order */
#ifdef NO_FRAMES
       end = IN_ORDER;
#else
       end = BROKEN;
#endif
       break
    od
}

inline tell_complete() {
    assert(got == PARTS);
    answered = true
}

inline tell_not_run() {
    assert(runs == 0 && late == 0);
    answered = true
}

active proctype node() {
    bool tunnel, opened;
    if
    :: repeatable = true
    :: repeatable = false
    fi;
    do
    :: answered -> break
    :: !answered && tries == TRIES ->
       if
       :: mayHaveRun -> answered = true   /* an answer that promises nothing */
       :: else -> tell_not_run()
       fi
    :: !answered && tries < TRIES ->
       tries++;
       if
       :: tunnel = false
       :: tunnel = true
       fi;
       if
       :: opened = true
       :: opened = false                  /* neither way; nothing was sent */
#ifdef NO_ONE_WAY
       :: tunnel -> opened = false; late++
#endif
       fi;
       if
       :: !opened -> skip
       :: opened ->
          if
          :: answer(tunnel);
             if
             :: end == IN_ORDER -> tell_complete()
             :: else -> mayHaveRun = true
             fi
          :: tunnel ->                    /* written, and the way broke before the worker ran it */
             late++;
#ifndef NO_WRITTEN
             mayHaveRun = true
#endif
          fi;
          if
          :: mayHaveRun && !repeatable && !answered -> answered = true
          :: else
          fi
       fi
    od
}

/* What was written and has not been run yet may still be run. */
active proctype network() {
    do
    :: atomic { late > 0 -> late--; runs++ }
    :: atomic { late > 0 -> late-- }
    :: late == 0 && answered -> break
    od
}

active proctype monitor() {
endWatch:
    atomic { !repeatable && runs > 1 -> assert(false) }
}
