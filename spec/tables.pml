/*
 * Tables of the store that nodes follow through each other (packages internal/tablerelay and
 * internal/tablefeed, docs/design/tables.md).
 *
 * Three nodes, ranked 0, 1, 2, that all hear each other, and one table. The store serves some of
 * the nodes, one at least, and turns the others away; which ones changes. Time goes in rounds, in
 * each of which every node acts once on what was told in the rounds before. A node that the
 * store served says the version that it has; the word counts for FRESH rounds. A node reads at
 * the store unless a word is younger than its patience; once it does, only words of nodes that
 * rank ahead of it count for that. It takes what is newer from a node that tells of it.
 *
 * Property: SETTLED rounds after the last change of the table, and of who is served, all nodes
 * hold the newest version.
 *
 * Guards, each removed by a macro:
 *   RANK_ONLY          a node takes what is newer only from nodes that rank ahead of it
 *   ASK_FIRST          changes are asked for at the node that ranks first
 *   DEAF_CALL          a node that waits for the store hears nothing from others
 *   NO_TAKEOVER        only the node that ranks first reads at the store
 */
#define NODES 3
#define VERSIONS 3              /* of the table */
#define MOVES 3                 /* changes of who is served */
#define FRESH 3                 /* rounds for which a word counts */
#define SETTLED 5
#define NEVER 9                 /* the age of a word that doesn't count */

byte version = 1;
bool served[NODES];
byte held[NODES];
bool reads[NODES];              /* at the store, for the others too */
byte told[NODES]; byte age[NODES];       /* what a node said, and rounds ago */
byte newTold[NODES]; byte newAge[NODES]; /* in this round */
byte since = 0;                 /* rounds since the last change */
byte moves = 0;

/* Rounds for which a node waits for another's word. */
#define patience(n) ((n) == 0 -> 0 : FRESH - 1)
/* A word of m is one that n hears. */
#define counts(n, m) ((m) != (n) && age[m] < FRESH)
/* A word of m keeps n from reading. */
#ifdef NO_TAKEOVER
#define spares(n, m) ((n) != 0)
#else
#define spares(n, m) (counts(n, m) && age[m] < patience(n) && (!reads[n] || (m) < (n)) && told[m] >= held[n])
#endif
#ifdef RANK_ONLY
#define maySay(n, m) (counts(n, m) && (m) < (n))
#else
#define maySay(n, m) counts(n, m)
#endif
#define better(m, best) (told[m] > told[best])

byte n, m, best; bool spared, failed;

/* Node n follows what others tell. */
inline follow() {
    best = NODES;
    for (m : 0 .. NODES - 1) {
        if
        :: maySay(n, m) && (best == NODES || better(m, best)) -> best = m
        :: else
        fi
    }
    if
    :: best < NODES && told[best] > held[n] ->
#ifdef ASK_FIRST
        if
        :: held[0] > held[n] -> held[n] = held[0]
        :: else
        fi
#else
        held[n] = told[best]
#endif
    :: else
    fi
}

inline act() {
    spared = false;
    for (m : 0 .. NODES - 1) {
        if
        :: spares(n, m) -> spared = true
        :: else
        fi
    }
    failed = false;
    if
    :: spared -> reads[n] = false
    :: !spared ->
        reads[n] = true;
        if
        :: served[n] ->
            held[n] = version;
            newTold[n] = version;
            newAge[n] = 0
        :: else -> failed = true
        fi
    fi;
#ifdef DEAF_CALL
    if
    :: spared -> follow()
    :: else
    fi
#else
    if
    :: spared || failed -> follow()
    :: else
    fi
#endif
}

/* What changes between two rounds. */
inline change() {
    if
    :: true
    :: version < VERSIONS -> version++; since = 0
    :: moves < MOVES ->
        moves++;
        since = 0;
        for (m : 0 .. NODES - 1) {
            if
            :: served[m] = true
            :: served[m] = false
            fi
        }
        if
        :: !served[0] && !served[1] && !served[2] -> served[2] = true
        :: else
        fi
    fi
}

init {
    atomic {
        for (n : 0 .. NODES - 1) {
            served[n] = true;
            held[n] = 1;
            age[n] = NEVER;
            newAge[n] = NEVER
        }
    }
    do
    :: atomic {
        change();
        for (n : 0 .. NODES - 1) {
            newTold[n] = told[n];
            newAge[n] = (age[n] < FRESH -> age[n] + 1 : NEVER);
            act();
        }
        for (n : 0 .. NODES - 1) {
            told[n] = newTold[n];
            age[n] = newAge[n];
            assert(since < SETTLED || held[n] == version)
        }
        since = (since < SETTLED -> since + 1 : SETTLED);
        n = 0; m = 0; best = 0; spared = false; failed = false
       }
    od
}
