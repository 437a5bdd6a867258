/*
 * Requests that crash the workers that run them (package internal/quarantine).
 *
 * Request D ends every worker that runs it. Request I is innocent: it may run beside D, and
 * then ends with the same worker; else a worker runs it to an end. Both come again, D at
 * either node, I at one of them. An end of a worker is a number; what a node
 * knows of a request is a set of ends, and nodes and the store join sets, sooner or later:
 * what nodes tell each other is here what they tell the store. All nodes may lose their
 * memory, and the store may not.
 *
 * A node is in touch once it has heard what the other knows; later runs of D are bounded.
 * It judges once all that it can hear of has settled.
 *
 * Properties: nodes in touch give D to two workers at most after the third that ended (three
 * are allowed); a node refuses I, once reports have settled, only if three workers have ended
 * under it since it last ran to an end, of which D does not explain all, or five.
 *
 * Guards, each removed by a macro:
 *   NO_SHARE           nodes don't hear what others know
 *   NO_SAVE            what is known isn't saved before all nodes lose their memory
 *   NO_CERTAIN         a request that another was always beside is never quarantined
 *   NO_RIVAL           a request is quarantined though another was at the same ends
 *   NO_SETTLING        a node judges before reports have settled
 *   NO_CLEARING        a run to an end clears nothing
 */
#define ENDS 6                  /* ends of workers that are looked at */
#define KILLS 1                 /* times that all nodes lose their memory */
#define CHANCES 1               /* workers that end by chance while they run I */

byte ends = 0;                  /* workers that have ended */
byte d = 0;                     /* all ends of D, and of I those not cleared */
byte i = 0;
byte cleared = 0;               /* ends of I that a run to an end has cleared */
byte late = 0;                  /* runs of D in touch after the third end */
byte kills = 0;
byte chances = 0;

byte knowsD[2]; byte knowsI[2]; byte clears[2];   /* what a node knows */
byte rowD = 0; byte rowI = 0; byte rowClears = 0; /* what the store holds */

#define bit(n) (1 << (n))
#define count(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + (((s) >> 4) & 1) + (((s) >> 5) & 1) + (((s) >> 6) & 1))
#define within(a, b) (((a) & ~(b)) == 0)

/* The ends that count against I at node n. */
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
#define rival(own, other) within(own, other)
#endif

#define quarantinesD(n) (certain(knowsD[n]) || count(knowsD[n]) >= 3 && !rival(knowsD[n], against(n)))
/* Of two that are to be quarantined the worse one comes first, and explains ends of the other. */
#define blame(n) ((quarantinesD(n) && count(knowsD[n]) > count(against(n))) -> (against(n) & ~knowsD[n]) : against(n))
#define quarantinesI(n) (certain(blame(n)) || count(blame(n)) >= 3 && !rival(blame(n), knowsD[n]))

/* What a node in touch has: all that the other knows, and the store. */
#ifdef NO_SHARE
#define inTouch(n) true
#else
#define inTouch(n) (within(knowsD[1 - (n)] | rowD, knowsD[n]) && within(knowsI[1 - (n)] | rowI, knowsI[n]) && within(clears[1 - (n)] | rowClears, clears[n]))
#endif
#ifdef NO_SETTLING
#define settled(n) true
#else
#define settled(n) inTouch(n)
#endif

#ifdef NO_SAVE
#define saved true
#else
#define saved (within(knowsD[0] | knowsD[1], rowD) && within(knowsI[0] | knowsI[1], rowI) && within(clears[0] | clears[1], rowClears))
#endif

/* A node and the store tell each other what they know. */
inline tell(at) {
    rowD = rowD | knowsD[at];
    rowI = rowI | knowsI[at];
    rowClears = rowClears | clears[at];
    knowsD[at] = rowD;
    knowsI[at] = rowI;
    clears[at] = rowClears
}

/* D runs from a node; beside is the node from which I runs at the same worker, 2: none. */
inline runD(by, beside) {
    if
    :: inTouch(by) && count(d) >= 3 -> late++
    :: else
    fi;
    assert(late <= 2);
    knowsD[by] = knowsD[by] | bit(ends);
    d = d | bit(ends);
    if
    :: beside < 2 ->
        knowsI[beside] = knowsI[beside] | bit(ends);
        i = i | bit(ends)
    :: else
    fi;
    ends++
}

/* A node refuses I. */
inline refuse() {
    assert(count(i & ~cleared) >= 5 || count(i & ~cleared) >= 3 && !within(i & ~cleared, d))
}

proctype Node(byte n) {
end: /* where nothing is left that may happen */
    do
    :: atomic { ends < ENDS && !quarantinesD(n) -> runD(n, 2) }
    :: atomic { ends < ENDS && !quarantinesD(n) && !quarantinesI(1) -> runD(n, 1) }
    :: atomic { n == 1 && ends < ENDS && chances < CHANCES && !quarantinesI(n) ->
        chances++;
        knowsI[n] = knowsI[n] | bit(ends);
        i = i | bit(ends);
        ends++ }
    :: atomic { n == 1 && settled(n) && quarantinesI(n) -> refuse() }
    :: atomic { n == 1 && !quarantinesI(n) && against(n) != 0 ->
        cleared = cleared | knowsI[n];
        clears[n] = clears[n] | knowsI[n] }
#ifndef NO_SHARE
    :: atomic { knowsD[n] != rowD || knowsI[n] != rowI || clears[n] != rowClears -> tell(n) }
#endif
    :: atomic { kills < KILLS && saved && knowsD[n] != 0 ->
        kills++;
#ifdef NO_SAVE
        rowD = 0; rowI = 0; rowClears = 0;
#endif
        knowsD[0] = 0; knowsD[1] = 0;
        knowsI[0] = 0; knowsI[1] = 0;
        clears[0] = 0; clears[1] = 0 }
    :: ends == ENDS -> break
    od
}

init {
    atomic {
        run Node(0);
        run Node(1)
    }
}
