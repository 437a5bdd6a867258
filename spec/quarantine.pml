/*
 * Requests that crash the workers that run them (package internal/quarantine).
 *
 * Request D crashes every worker that runs it. Request I is harmless: it may run beside D,
 * and is then present at the crash of that worker; otherwise a worker completes it. Both are
 * sent again and again, D to either node, I to one of them. Crashes are numbered; what a node
 * knows of a request is the set of crashes at which it was present. Nodes and the store merge
 * their sets sooner or later; what nodes tell each other goes through the store in this
 * model. All nodes may lose their memory; the store never does in this model.
 *
 * A node is in touch once it has received all that the other node and the store know; the
 * runs of D after that are bounded. A node decides on I once it is in touch.
 *
 * Properties: after the third crash of D, nodes in touch give it to at most two more workers
 * (the package allows three, trials included; the model has no trials). Once reports have
 * settled, a node refuses I only if, since I was last completed, I was present at three or
 * more crashes and D was absent from at least one of them, or I was present at five or more.
 *
 * Guards, each removed by a macro:
 *   NO_SHARE           nodes don't receive what others know
 *   NO_SAVE            what is known isn't saved before all nodes lose their memory
 *   NO_CERTAIN         a request is never quarantined while another was present at all of
 *                      its crashes, however many they are
 *   NO_RIVAL           a request is quarantined although another was present at the same
 *                      crashes
 *   NO_SETTLING        a node decides before reports have settled
 *   NO_CLEARING        a completed run clears nothing
 */
#define CRASHES 6               /* crashes in the model */
#define LOSSES 1                /* times that all nodes lose their memory */
#define UNRELATED 1             /* crashes that D has not caused, while the worker runs I */

byte crashes = 0;               /* crashes so far */
byte d = 0;                     /* ghosts: the crashes at which D was present, */
byte i = 0;                     /* and I was present */
byte cleared = 0;               /* crashes of I that a completed run has cleared */
byte late = 0;                  /* runs of D from nodes in touch after the third crash */
byte losses = 0;
byte unrelated = 0;

byte knowsD[2]; byte knowsI[2]; byte clears[2];   /* what a node knows */
byte rowD = 0; byte rowI = 0; byte rowClears = 0; /* what the store holds */

#define bit(n) (1 << (n))
#define count(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + (((s) >> 4) & 1) + (((s) >> 5) & 1) + (((s) >> 6) & 1))
#define subset(a, b) (((a) & ~(b)) == 0)

/* The crashes that count against I at node n. */
#ifdef NO_CLEARING
#define against(n) (knowsI[n])
#else
#define against(n) (knowsI[n] & ~clears[n])
#endif

#ifdef NO_CERTAIN
#define certain(s) false
#else
#define certain(s) (count(s) >= 5)
#endif
#ifdef NO_RIVAL
#define rival(own, other) false
#else
#define rival(own, other) subset(own, other)
#endif

#define quarantinesD(n) (certain(knowsD[n]) || count(knowsD[n]) >= 3 && !rival(knowsD[n], against(n)))
/* Of two requests to be quarantined, the one with more crashes comes first; crashes at which it
 * was present then don't count against the other. */
#define blame(n) ((quarantinesD(n) && count(knowsD[n]) > count(against(n))) -> (against(n) & ~knowsD[n]) : against(n))
#define quarantinesI(n) (certain(blame(n)) || count(blame(n)) >= 3 && !rival(blame(n), knowsD[n]))

/* A node is in touch if it knows all that the other node and the store know. */
#ifdef NO_SHARE
#define inTouch(n) true
#else
#define inTouch(n) (subset(knowsD[1 - (n)] | rowD, knowsD[n]) && subset(knowsI[1 - (n)] | rowI, knowsI[n]) && subset(clears[1 - (n)] | rowClears, clears[n]))
#endif
#ifdef NO_SETTLING
#define settled(n) true
#else
#define settled(n) inTouch(n)
#endif

#ifdef NO_SAVE
#define saved true
#else
#define saved (subset(knowsD[0] | knowsD[1], rowD) && subset(knowsI[0] | knowsI[1], rowI) && subset(clears[0] | clears[1], rowClears))
#endif

/* A node and the store merge what they know. */
inline sync(at) {
    rowD = rowD | knowsD[at];
    rowI = rowI | knowsI[at];
    rowClears = rowClears | clears[at];
    knowsD[at] = rowD;
    knowsI[at] = rowI;
    clears[at] = rowClears
}

/* D runs for node by; beside is the node for which I runs at the same worker, 2: none. */
inline runD(by, beside) {
    if
    :: inTouch(by) && count(d) >= 3 -> late++
    :: else
    fi;
    assert(late <= 2);
    knowsD[by] = knowsD[by] | bit(crashes);
    d = d | bit(crashes);
    if
    :: beside < 2 ->
        knowsI[beside] = knowsI[beside] | bit(crashes);
        i = i | bit(crashes)
    :: else
    fi;
    crashes++
}

/* A node refuses I: the assertion is the property above. */
inline refuse() {
    assert(count(i & ~cleared) >= 5 || count(i & ~cleared) >= 3 && !subset(i & ~cleared, d))
}

proctype Node(byte n) {
end: /* a valid end state: no step is possible any more */
    do
    :: atomic { crashes < CRASHES && !quarantinesD(n) -> runD(n, 2) }
    :: atomic { crashes < CRASHES && !quarantinesD(n) && !quarantinesI(1) -> runD(n, 1) }
    :: atomic { n == 1 && crashes < CRASHES && unrelated < UNRELATED && !quarantinesI(n) ->
        unrelated++;
        knowsI[n] = knowsI[n] | bit(crashes);
        i = i | bit(crashes);
        crashes++ }
    :: atomic { n == 1 && settled(n) && quarantinesI(n) -> refuse() }
    :: atomic { n == 1 && !quarantinesI(n) && against(n) != 0 ->
        cleared = cleared | knowsI[n];
        clears[n] = clears[n] | knowsI[n] }
#ifndef NO_SHARE
    :: atomic { knowsD[n] != rowD || knowsI[n] != rowI || clears[n] != rowClears -> sync(n) }
#endif
    :: atomic { losses < LOSSES && saved && knowsD[n] != 0 ->
        losses++;
#ifdef NO_SAVE
        rowD = 0; rowI = 0; rowClears = 0;
#endif
        knowsD[0] = 0; knowsD[1] = 0;
        knowsI[0] = 0; knowsI[1] = 0;
        clears[0] = 0; clears[1] = 0 }
    :: crashes == CRASHES -> break
    od
}

init {
    atomic {
        run Node(0);
        run Node(1)
    }
}
