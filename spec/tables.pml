/*
 * Distribution of the store's tables from node to node (packages internal/tablerelay and
 * internal/tablefeed, docs/design/tables.md).
 *
 * Three nodes, ranked 0, 1, 2, that all hear each other, and one table. The store serves some of
 * the nodes, at least one, and rejects the others; which ones changes. Time proceeds in rounds; in
 * each round every node acts once on the announcements of earlier rounds. A node that the store
 * has served announces the version that it has; an announcement is valid for FRESH rounds. A node
 * reads at the store unless it has an announcement younger than its patience; once it reads,
 * only announcements of nodes that rank before it make it stop. It fetches a newer version from a
 * node that announces one.
 *
 * Property: SETTLED rounds after the last change of the table, and of the nodes that are served,
 * all nodes have the newest version.
 *
 * Guards, each removed by a macro:
 *   RANK_ONLY          a node fetches newer versions only from nodes that rank before it
 *   ASK_FIRST          changes are fetched from the node that ranks first, whoever announced them
 *   DEAF_CALL          a node whose call to the store fails ignores the announcements of others
 *   NO_TAKEOVER        only the node that ranks first reads at the store
 */
#define NODES 3
#define VERSIONS 3              /* of the table */
#define MOVES 3                 /* changes of the nodes that are served */
#define FRESH 3                 /* rounds for which an announcement is valid */
#define SETTLED 5
#define NEVER 9                 /* the age of an expired announcement */

byte version = 1;
bool served[NODES];
byte held[NODES];
bool reads[NODES];              /* the node reads at the store, for the others too */
byte announced[NODES]; byte age[NODES];  /* announced version, and rounds since */
byte newAnnounced[NODES]; byte newAge[NODES]; /* the same, as of this round */
byte since = 0;                 /* rounds since the last change */
byte moves = 0;

/* Rounds for which a node waits for another's announcement before it reads. */
#define patience(n) ((n) == 0 -> 0 : FRESH - 1)
/* n has a valid announcement of m. */
#define hears(n, m) ((m) != (n) && age[m] < FRESH)
/* An announcement of m keeps n from reading at the store. */
#ifdef NO_TAKEOVER
#define stops(n, m) ((n) != 0)
#else
#define stops(n, m) (hears(n, m) && age[m] < patience(n) && (!reads[n] || (m) < (n)) && announced[m] >= held[n])
#endif
#ifdef RANK_ONLY
#define isSource(n, m) (hears(n, m) && (m) < (n))
#else
#define isSource(n, m) hears(n, m)
#endif
#define better(m, best) (announced[m] > announced[best])

byte n, m, best; bool stopped, failed;

/* Node n fetches the newest version that others announce. */
inline fetch() {
    best = NODES;
    for (m : 0 .. NODES - 1) {
        if
        :: isSource(n, m) && (best == NODES || better(m, best)) -> best = m
        :: else
        fi
    }
    if
    :: best < NODES && announced[best] > held[n] ->
#ifdef ASK_FIRST
        if
        :: held[0] > held[n] -> held[n] = held[0]
        :: else
        fi
#else
        held[n] = announced[best]
#endif
    :: else
    fi
}

inline act() {
    stopped = false;
    for (m : 0 .. NODES - 1) {
        if
        :: stops(n, m) -> stopped = true
        :: else
        fi
    }
    failed = false;
    if
    :: stopped -> reads[n] = false
    :: !stopped ->
        reads[n] = true;
        if
        :: served[n] ->
            held[n] = version;
            newAnnounced[n] = version;
            newAge[n] = 0
        :: else -> failed = true
        fi
    fi;
#ifdef DEAF_CALL
    if
    :: stopped -> fetch()
    :: else
    fi
#else
    if
    :: stopped || failed -> fetch()
    :: else
    fi
#endif
}

/* A change of the table or of the served nodes, between two rounds. */
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
            newAnnounced[n] = announced[n];
            newAge[n] = (age[n] < FRESH -> age[n] + 1 : NEVER);
            act();
        }
        for (n : 0 .. NODES - 1) {
            announced[n] = newAnnounced[n];
            age[n] = newAge[n];
            assert(since < SETTLED || held[n] == version)
        }
        since = (since < SETTLED -> since + 1 : SETTLED);
        n = 0; m = 0; best = 0; stopped = false; failed = false
       }
    od
}
