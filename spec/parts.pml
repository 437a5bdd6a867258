/*
 * Parts of prompts that crash the workers which run them (internal/quarantine, parts.go).
 *
 * Part P crashes every worker that begins to answer a request with it; part A is sound. Bad
 * requests have both, sound ones have A alone. No two bad requests are alike, so that only the
 * parts tell them. A sound request may run beside a bad one and is then present at the crash; a
 * worker may also crash for another reason while it runs a sound one. A completed run of a sound
 * request clears one crash of A. A node plans a bad request and sends it in a later step. Nodes
 * and the store merge what they know sooner or later. All nodes may lose their memory once the
 * store holds P as quarantined.
 *
 * A part is quarantined from ACCUSED crashes that are not cleared; parts with the same crashes
 * form a group, and a request is refused if it has all parts of a group. Of two sets of crashes
 * the larger one comes first and explains what it covers.
 *
 * Properties: a node in touch, which has received all that the other node and the store know,
 * sends no bad request after ACCUSED crashes of P. A node in touch refuses a sound request only
 * if a worker crashed for another reason and no completed run has outweighed that.
 *
 * Guards, each removed by a macro:
 *   NO_SHARE           nodes don't receive what others know
 *   NO_SAVE            what is quarantined isn't saved before all nodes lose their memory
 *   NO_SEND_CHECK      a node doesn't ask again before it sends what it has planned
 *   NO_GROUP           of parts with the same crashes each is refused alone
 *   NO_SETTLING        a node decides on sound requests before reports have settled
 *   NO_OUTWEIGHING     a completed run clears nothing
 */
#define ACCUSED 3               /* crashes from which a part is quarantined */
#define CRASHES 5               /* crashes in the model */
#define LOSSES 1                /* times that all nodes lose their memory */
#define UNRELATED 1             /* crashes for another reason while the worker runs a sound request */

byte crashes = 0;
byte p = 0;                     /* ghosts: the crashes at which P was present, */
byte other = 0;                 /* those for another reason, */
byte outweighed = 0;            /* and those of A that completed runs outweigh */
byte losses = 0;
byte unrelated = 0;

byte knowsP[2]; byte knowsA[2]; byte clears[2];   /* what a node knows */
byte rowP = 0; byte rowA = 0; byte rowClears = 0; /* what the store holds */
bool planned[2];                                  /* a bad request is planned and not yet sent */

#define bit(n) (1 << (n))
#define count(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + (((s) >> 4) & 1))
#define subset(a, b) (((a) & ~(b)) == 0)

#ifdef NO_OUTWEIGHING
#define against(n) (knowsA[n])
#else
#define against(n) (knowsA[n] & ~clears[n])
#endif

/* The crashes of A that are left once P, with at least as many, has explained its own. */
#define explains(n) (count(knowsP[n]) >= ACCUSED && count(knowsP[n]) > count(against(n)))
#define left(n) (explains(n) -> (against(n) & ~knowsP[n]) : against(n))
#define accusesA(n) (count(left(n)) >= ACCUSED)
#ifdef NO_GROUP
#define together(n) false
#else
#define together(n) (knowsP[n] == against(n))
#endif
#define refusesSound(n) (accusesA(n) && !together(n))
#define refusesBad(n) (count(knowsP[n]) >= ACCUSED || accusesA(n))

#ifdef NO_SHARE
#define inTouch(n) true
#else
#define inTouch(n) (subset(knowsP[1 - (n)] | rowP, knowsP[n]) && subset(knowsA[1 - (n)] | rowA, knowsA[n]) && subset(clears[1 - (n)] | rowClears, clears[n]))
#endif
#ifdef NO_SETTLING
#define settled(n) true
#else
#define settled(n) inTouch(n)
#endif
#ifdef NO_SEND_CHECK
#define maySend(n) true
#else
#define maySend(n) (!refusesBad(n))
#endif

/* The store holds all that the nodes know. */
#define saved (subset(knowsP[0] | knowsP[1], rowP) && subset(knowsA[0] | knowsA[1], rowA) && subset(clears[0] | clears[1], rowClears))

/* A node takes what the other node and the store know. */
inline share(n) {
    knowsP[n] = knowsP[n] | knowsP[1 - n] | rowP;
    knowsA[n] = knowsA[n] | knowsA[1 - n] | rowA;
    clears[n] = clears[n] | clears[1 - n] | rowClears
}

/* The planned request of a node runs and crashes its worker; beside is the node for which a sound
 * request runs there, 2: none. */
inline crashBad(n, beside) {
    assert(!(inTouch(n) && count(p) >= ACCUSED));
    planned[n] = false;
    knowsP[n] = knowsP[n] | bit(crashes);
    knowsA[n] = knowsA[n] | bit(crashes);
    p = p | bit(crashes);
    if
    :: beside < 2 -> knowsA[beside] = knowsA[beside] | bit(crashes)
    :: else
    fi;
    crashes++
}

/* A completed run of a sound request clears the first crash of A that counts. */
inline complete(n) {
    byte first = 0;
    do
    :: (against(n) & bit(first)) != 0 -> break
    :: else -> first++
    od;
    clears[n] = clears[n] | bit(first);
    outweighed = outweighed | bit(first);
    first = 0
}

proctype Node(byte n) {
end: /* a valid end state: no step is possible any more */
    do
    :: atomic { !planned[n] && crashes < CRASHES && !refusesBad(n) -> planned[n] = true }
    :: atomic { planned[n] && crashes < CRASHES && maySend(n) -> crashBad(n, 2) }
    :: atomic { planned[n] && crashes < CRASHES && maySend(n) && !refusesSound(1) -> crashBad(n, 1) }
    :: atomic { planned[n] && !maySend(n) -> planned[n] = false }
    :: atomic { n == 1 && crashes < CRASHES && unrelated < UNRELATED && !refusesSound(n) ->
        unrelated++;
        knowsA[n] = knowsA[n] | bit(crashes);
        other = other | bit(crashes);
        crashes++ }
    :: atomic { n == 1 && !refusesSound(n) && (knowsA[n] & ~clears[n]) != 0 && against(n) != 0 && count(clears[n]) < CRASHES -> complete(n) }
    :: atomic { settled(n) && refusesSound(n) -> assert((other & ~outweighed) != 0) }
#ifndef NO_SHARE
    :: atomic { !inTouch(n) -> share(n) }
#endif
#ifndef NO_SAVE
    :: atomic { count(knowsP[n]) >= ACCUSED && (rowP != knowsP[n] || rowA != knowsA[n] || rowClears != clears[n]) ->
        rowP = rowP | knowsP[n];
        rowA = rowA | knowsA[n];
        rowClears = rowClears | clears[n] }
#endif
#ifdef NO_SAVE
    :: atomic { losses < LOSSES && count(knowsP[n]) >= ACCUSED ->
#else
    :: atomic { losses < LOSSES && count(rowP) >= ACCUSED && saved ->
#endif
        losses++;
        knowsP[0] = 0; knowsP[1] = 0;
        knowsA[0] = 0; knowsA[1] = 0;
        clears[0] = 0; clears[1] = 0;
        planned[0] = false; planned[1] = false }
    :: crashes == CRASHES -> break
    od
}

init {
    atomic {
        run Node(0);
        run Node(1)
    }
}
