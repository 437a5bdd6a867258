/*
 * The lease of package lease in a store that is restored from a backup: its version goes back,
 * its era, which counts the restores, rises, and all writes since the backup are lost.
 *
 * Two nodes; a store with one row for each era, which begins in era 0. Instead of clock times
 * the model keeps ages and remaining times, which advance together by a tick. Writes may be
 * carried out at any later time, even after their sender has stopped waiting for them; the
 * store compares version numbers only, not eras. A node learns the era from the store's
 * answers, so a node that doesn't call the store may work with an old era for any time.
 *
 * Properties: at most one node holds the lease at any time; when a lease is taken, its fence is
 * above all fences held before.
 *
 * Guards, each removed by a macro:
 *   NO_ERA_IN_FENCE    a fence consists of the store's number alone, without the era
 *   ONE_ROW            all eras share one row
 *   NO_WAIT            the row of a new era is taken as soon as it is found missing
 *   TRUST_ANSWER       a write that was meant for an earlier era counts as successful
 */
#define LEASE 2
#define LAST_NUMBER 3
#define LAST_ERA 1
#define NOBODY 2

byte number = 0;                /* the store's counter */
byte era = 0;
byte holder[2] = NOBODY;        /* by era: the holder in that row */
byte rowNumber[2];              /* by era: the row's version, 0: there is no row */

bool backedUp = false;          /* one backup is made, of the row of era 0 */
byte backupNumber = 0;
byte backupHolder = NOBODY;

bool known[2];                  /* the node has read the store */
byte seenEra[2];
byte seenNumber[2];
byte seenHolder[2] = NOBODY;
byte seenFor[2];
byte left[2];                   /* remaining time of its lease */
byte fence[2];

bool pending[2]; byte pendingEra[2]; byte pendingNumber[2]; byte sentFor[2]; bool takesLease[2];
/* Only one write may be late, and only of node 0: the nodes are alike. */
bool late; byte lateEra; byte lateNumber;

byte highest = 0;               /* ghost: highest fence held so far */

#define HOLDS(i) (left[i] > 0)

#ifdef ONE_ROW
#define ROW(e) 0
#else
#define ROW(e) (e)
#endif
#ifdef NO_ERA_IN_FENCE
#define FENCE(e, n) (n)
#else
#define FENCE(e, n) ((e) * (LAST_NUMBER + 1) + (n))
#endif
#ifdef NO_WAIT
#define FREE(i) (seenNumber[i] == 0 || seenHolder[i] == i || seenFor[i] == LEASE)
#else
#define FREE(i) (seenNumber[i] == 0 && seenEra[i] == 0 || seenHolder[i] == i || seenFor[i] == LEASE)
#endif
#ifdef TRUST_ANSWER
#define SUCCEEDS(e) true
#else
#define SUCCEEDS(e) (era == (e))
#endif

/* A node reads the row of the current era. A holder that finds a new era without a row keeps its
 * lease. */
inline read(i) {
    if
    :: seenEra[i] < era && rowNumber[ROW(era)] == 0 -> skip
    :: (seenEra[i] == era || rowNumber[ROW(era)] != 0) && holder[ROW(era)] != i -> left[i] = 0
    :: else -> skip
    fi;
    if
    :: seenEra[i] < era -> pending[i] = false
    :: else
    fi;
    known[i] = true; seenEra[i] = era; seenNumber[i] = rowNumber[ROW(era)];
    seenHolder[i] = holder[ROW(era)]; seenFor[i] = 0
}

inline startWrite(i, takeLease) {
    pending[i] = true; pendingEra[i] = seenEra[i]; pendingNumber[i] = seenNumber[i]; sentFor[i] = 0; takesLease[i] = takeLease
}

inline write(i, e) {
    number++; rowNumber[ROW(e)] = number; holder[ROW(e)] = i
}

#define MATCHES(e, n) (number < LAST_NUMBER && rowNumber[ROW(e)] == (n))

/* A write is carried out and answered at once. One that is answered later, or never, is a late
 * write: its sender assumes nothing of its result. */
inline complete(i) {
    if
    :: MATCHES(pendingEra[i], pendingNumber[i]) ->
        write(i, pendingEra[i]);
        if
        :: SUCCEEDS(pendingEra[i]) ->
            if
            :: takesLease[i] ->
                assert(FENCE(era, number) > highest);
                fence[i] = FENCE(era, number); highest = fence[i]
            :: else
            fi;
            left[i] = LEASE - sentFor[i];
            seenEra[i] = era; seenNumber[i] = number; seenHolder[i] = i; seenFor[i] = 0
        :: else
        fi
    :: else
    fi;
    pending[i] = false
}

inline carryOutLate(i) {
    if
    :: MATCHES(lateEra, lateNumber) -> write(i, lateEra)
    :: else
    fi;
    late = false; lateEra = 0; lateNumber = 0
}

inline clear(i) {
    if
    :: left[i] == 0 -> fence[i] = 0
    :: else
    fi;
    if
    :: !pending[i] -> pendingEra[i] = 0; pendingNumber[i] = 0; sentFor[i] = 0; takesLease[i] = false
    :: else
    fi
}

inline tick(i) {
    if
    :: seenFor[i] < LEASE -> seenFor[i]++
    :: else
    fi;
    if
    :: pending[i] && sentFor[i] < LEASE -> sentFor[i]++
    :: else
    fi;
    if
    :: left[i] > 0 -> left[i]--
    :: else
    fi;
    clear(i)
}

#define STEPS(i) \
    :: d_step { !known[i] || seenEra[i] != era || seenNumber[i] != rowNumber[ROW(era)] -> read(i); clear(i) } \
    :: d_step { known[i] && !pending[i] && HOLDS(i) -> startWrite(i, false) } \
    :: d_step { known[i] && !pending[i] && !HOLDS(i) && FREE(i) -> startWrite(i, true) } \
    :: d_step { pending[i] -> complete(i); clear(i) }

#define LATE_STEPS(i) \
    :: d_step { pending[i] && !late -> \
        late = true; lateEra = pendingEra[i]; lateNumber = pendingNumber[i]; pending[i] = false; clear(i) } \
    :: d_step { late -> carryOutLate(i) }

active proctype System() {
    do
    STEPS(0)
    STEPS(1)
    LATE_STEPS(0)
    :: d_step { !backedUp && era == 0 -> backedUp = true; backupNumber = rowNumber[0]; backupHolder = holder[0] }
    :: d_step { backedUp && era < LAST_ERA ->
        era++; number = backupNumber; rowNumber[0] = backupNumber; holder[0] = backupHolder;
        backupNumber = 0; backupHolder = NOBODY }
    :: d_step { true -> tick(0); tick(1) }
    :: d_step { HOLDS(0) && HOLDS(1) -> assert(false) }
    od
}
