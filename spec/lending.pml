/*
 * Connections to one worker that nodes lend each other (packages internal/tunnel and
 * internal/workerconn).
 *
 * Each node has a share of the worker's limit. A node opens a connection within its share, or asks
 * another one, which opens it within its own. The connection to the worker ends when the lender
 * closes it: because the borrower has closed the tunnel or has ended, or because the tunnel is
 * cut. The lender notices a cut or an ended borrower late. Either may end at any moment; its
 * system then closes its connections, and it starts again knowing of none.
 *
 * Property: the worker never has more connections than its limit, the sum of all shares.
 *
 * Guards, each removed by a macro:
 *   NO_COUNT        a lender doesn't count what it has lent
 *   NO_CLOSE        a lender takes its share back without closing the connection
 *   NO_CHECK        a lender lends without looking at its share
 */
#define NODES 3
#define SHARE 2
#define STARTS 2                /* times that a node ends and starts again */

byte own[NODES];                /* connections that a node has open for itself */
byte lent[NODES];               /* connections that a node has open for others, */
byte counted[NODES];            /* and how many of these it counts */
byte starts = 0;

#define atWorker (own[0] + own[1] + own[2] + lent[0] + lent[1] + lent[2])
#define used(n) (own[n] + counted[n])

inline lend(from) {
    lent[from]++;
#ifndef NO_COUNT
    counted[from]++;
#endif
    skip
}

proctype Node(byte n) {
    byte other = (n + 1) % NODES;
    do
    :: atomic { used(n) < SHARE -> own[n]++ }
    :: atomic { own[n] > 0 -> own[n]-- }
#ifdef NO_CHECK
    :: atomic { used(n) >= SHARE && lent[other] < SHARE -> lend(other) }
#else
    :: atomic { used(n) >= SHARE && used(other) < SHARE && lent[other] < SHARE -> lend(other) }
#endif
    /* The tunnel has ended, or the lender notices that its borrower has. */
    :: atomic { lent[n] > 0 -> lent[n]--; counted[n] = (counted[n] > 0 -> counted[n] - 1 : 0) }
#ifdef NO_CLOSE
    :: atomic { counted[n] > 0 -> counted[n]-- }
#endif
    /* The node ends, and its system closes its connections. */
    :: atomic { starts < STARTS -> starts++; own[n] = 0; lent[n] = 0; counted[n] = 0 }
    od
}

active proctype Limit() {
end:
    do
    :: atomic { atWorker > NODES * SHARE -> assert(false) }
    od
}

init {
    atomic {
        run Node(0);
        run Node(1);
        run Node(2)
    }
}
