/*
 * The lease of package lease over a store that comes back from an older copy: its version
 * goes back, its era rises, and what was written since the copy is gone.
 *
 * Two nodes; a store with one row for each era, of which the first is the one that lies there
 * from the start. Ages and remainders advance together by a tick. Writes are carried out at
 * any later time, also after their sender has given them up; the store compares numbers only.
 * A node learns the era from answers, so a node that doesn't call knows an old one for as long.
 *
 * Properties: at most one node holds the lease at any time; a lease that is taken has a fence
 * above all that were held before.
 *
 * Guards, each removed by a macro:
 *   NO_ERA_IN_FENCE    a fence is the store's number alone
 *   ONE_ROW            all eras share a row
 *   NO_WAIT            the row of a new era is taken as soon as it is found missing
 *   TRUST_ANSWER       a write that was meant for an earlier era counts as done
 */
#define LIFE 2
#define LAST_NUMBER 3
#define LAST_ERA 1
#define NOBODY 2

byte number = 0;                /* the store's counter */
byte era = 0;
byte holder[2] = NOBODY;        /* of the row of an era */
byte rowNumber[2];              /* its version's number, zero: there is no row */

bool copied = false;            /* one copy is made, of the first era's row */
byte copyNumber = 0;
byte copyHolder = NOBODY;

bool known[2];                  /* the node has seen a row */
byte seenEra[2];
byte seenNumber[2];
byte seenHolder[2] = NOBODY;
byte seenFor[2];
byte left[2];                   /* what is left of its lease */
byte fence[2];

bool pending[2]; byte pendingEra[2]; byte pendingNumber[2]; byte sentFor[2]; bool takes[2];
/* One write in all may be late: the nodes are alike, so it is the first one's. */
bool late; byte lateEra; byte lateNumber;

byte highest = 0;               /* of all fences that were held */

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
#define FREE(i) (seenNumber[i] == 0 || seenHolder[i] == i || seenFor[i] == LIFE)
#else
#define FREE(i) (seenNumber[i] == 0 && seenEra[i] == 0 || seenHolder[i] == i || seenFor[i] == LIFE)
#endif
#ifdef TRUST_ANSWER
#define COUNTS(e) true
#else
#define COUNTS(e) (era == (e))
#endif

/* A node sees the row of the newest era. One that holds the lease goes on where it finds none
 * in a new era. */
inline see(i) {
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

inline propose(i, take) {
    pending[i] = true; pendingEra[i] = seenEra[i]; pendingNumber[i] = seenNumber[i]; sentFor[i] = 0; takes[i] = take
}

inline write(i, e) {
    number++; rowNumber[ROW(e)] = number; holder[ROW(e)] = i
}

#define MATCHES(e, n) (number < LAST_NUMBER && rowNumber[ROW(e)] == (n))

/* A write that is carried out and answered at once; one whose answer comes later, or never, is
 * a late one, whose sender counts on nothing. */
inline answered(i) {
    if
    :: MATCHES(pendingEra[i], pendingNumber[i]) ->
        write(i, pendingEra[i]);
        if
        :: COUNTS(pendingEra[i]) ->
            if
            :: takes[i] ->
                assert(FENCE(era, number) > highest);
                fence[i] = FENCE(era, number); highest = fence[i]
            :: else
            fi;
            left[i] = LIFE - sentFor[i];
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
    :: !pending[i] -> pendingEra[i] = 0; pendingNumber[i] = 0; sentFor[i] = 0; takes[i] = false
    :: else
    fi
}

inline tick(i) {
    if
    :: seenFor[i] < LIFE -> seenFor[i]++
    :: else
    fi;
    if
    :: pending[i] && sentFor[i] < LIFE -> sentFor[i]++
    :: else
    fi;
    if
    :: left[i] > 0 -> left[i]--
    :: else
    fi;
    clear(i)
}

#define STEPS(i) \
    :: d_step { !known[i] || seenEra[i] != era || seenNumber[i] != rowNumber[ROW(era)] -> see(i); clear(i) } \
    :: d_step { known[i] && !pending[i] && HOLDS(i) -> propose(i, false) } \
    :: d_step { known[i] && !pending[i] && !HOLDS(i) && FREE(i) -> propose(i, true) } \
    :: d_step { pending[i] -> answered(i); clear(i) }

#define LATE_STEPS(i) \
    :: d_step { pending[i] && !late -> \
        late = true; lateEra = pendingEra[i]; lateNumber = pendingNumber[i]; pending[i] = false; clear(i) } \
    :: d_step { late -> carryOutLate(i) }

active proctype System() {
    do
    STEPS(0)
    STEPS(1)
    LATE_STEPS(0)
    :: d_step { !copied && era == 0 -> copied = true; copyNumber = rowNumber[0]; copyHolder = holder[0] }
    :: d_step { copied && era < LAST_ERA ->
        era++; number = copyNumber; rowNumber[0] = copyNumber; holder[0] = copyHolder;
        copyNumber = 0; copyHolder = NOBODY }
    :: d_step { true -> tick(0); tick(1) }
    :: d_step { HOLDS(0) && HOLDS(1) -> assert(false) }
    od
}
