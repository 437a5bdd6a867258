/*
 * A stream that its caller takes up at another node (package internal/resumption).
 *
 * Workers of two versions come and go in the store's list. Node B begins a stream at a worker that
 * is listed, or was a moment ago by its copy, and tells node A, which may lose the message. The
 * stream may break off and go on within the answer. Then the caller takes it up at A, which follows
 * the list with delay and may start again, with nothing in its memory but the list as it is then. A
 * worker may start again under its name at the other version before its entry says so.
 *
 * Assumption: the keeper, which writes to the store which versions were listed, looks at the list
 * once at least while a version is listed.
 *
 * Property: a stream goes on only at the version that brought its first event.
 *
 * Guards, each removed by a macro:
 *   NO_BIND         within an answer the stream goes on anywhere
 *   TELL_PLANNED    the version is told when the request is sent, before the first event
 *   FREE_UNKNOWN    a stream that A doesn't know goes on anywhere
 *   OLD_LIST        A doesn't ask the store whether its list is current
 *   ASKED_BEFORE    an answer of the store to a question before the request came counts
 *   FORGET_LEFT     A doesn't count versions that are no longer listed
 *   NO_PAST         A doesn't read what the keeper has written after it started again
 *   NO_VERIFY       a worker's incarnation isn't verified before a stream is sent
 */
#define NONE 2
#define VERSIONS 2
#define MAX_CHANGES 3

bool listed[VERSIONS];
bool wasListed[VERSIONS];       /* once at least */
bool looked[VERSIONS];          /* by the keeper, in the store's row since then */
byte changes = 0;
bool reborn = false;            /* workers of version 0 run version 1, unlisted */

/* Node A. */
byte known = NONE;
byte applied = 0;               /* changes of the list that have taken effect */
bool copy[VERSIONS];
bool listedSince[VERSIONS];     /* since A started */
bool seen[VERSIONS];            /* of these, what A has followed */
bool started = false;           /* again */
bool askedBefore = false;       /* the store has confirmed the list at some time */

byte began = NONE;              /* the version of the first event */
bool told = false;
byte tells = NONE;
bool takenUp = false;

inline follow() {
    d_step {
        copy[0] = listed[0]; copy[1] = listed[1];
        seen[0] = listedSince[0]; seen[1] = listedSince[1];
        applied = changes
    }
}

/* The version that a worker writes which is taken for one of a version, NONE if it is left out. */
inline actual(version, result) {
    if
    :: version == 0 && reborn ->
#ifdef NO_VERIFY
       result = 1
#else
       result = NONE
#endif
    :: else -> result = version
    fi
}

active proctype list() {
    do
    :: atomic { changes < MAX_CHANGES && !listed[1] ->
        listed[1] = true; wasListed[1] = true; listedSince[1] = true; changes++ }
    :: atomic { changes < MAX_CHANGES && listed[1] && looked[1] -> listed[1] = false; changes++ }
    :: atomic { changes < MAX_CHANGES && listed[0] && looked[0] -> listed[0] = false; changes++ }
    :: atomic { listed[0] && !reborn -> reborn = true }
    :: atomic { reborn && changes < MAX_CHANGES && looked[0] ->     /* its entry says so */
        listed[0] = false; listed[1] = true; wasListed[1] = true; listedSince[1] = true; changes++; reborn = false }
    :: takenUp -> break
    od
}

active proctype keeper() {
    do
    :: atomic { (listed[0] && !looked[0]) || (listed[1] && !looked[1]) ->
        if
        :: listed[0] -> looked[0] = true
        :: else
        fi;
        if
        :: listed[1] -> looked[1] = true
        :: else
        fi }
    :: takenUp -> break
    od
}

active proctype nodeB() {
    byte version, wrote;
    if
    :: wasListed[0] -> version = 0
    :: wasListed[1] -> version = 1
    fi;
#ifdef TELL_PLANNED
    tells = version; told = true;
#endif
    if
    :: skip
    :: wasListed[1 - version] -> version = 1 - version  /* the first worker failed before its first event */
    fi;
    atomic {
        actual(version, wrote);
        if
        :: wrote != NONE -> began = wrote
        :: else
        fi
    }
    if
    :: began == NONE -> goto ended                      /* nothing began */
    :: else
    fi;
#ifndef TELL_PLANNED
    tells = version; told = true;
#endif
    if                                                  /* the worker breaks off */
    :: skip
    :: atomic {
#ifdef NO_BIND
        if
        :: wasListed[0] -> wrote = 0
        :: wasListed[1] -> wrote = 1
        fi;
#else
        actual(version, wrote);
#endif
        assert(wrote == NONE || wrote == began) }
    fi;
ended:
    skip
}

/* The message to A, which may be lost. */
active proctype network() {
    if
    :: atomic { told -> known = tells }
    :: takenUp
    fi
}

inline prove(version) {
    version = NONE;
    if
#ifdef OLD_LIST
    :: true
#else
#ifdef ASKED_BEFORE
    :: askedBefore
#endif
    :: applied == changes       /* the store says so now */
#endif
    :: else -> goto refused
    fi;
    if
    :: copy[0] && !copy[1] -> version = 0
    :: copy[1] && !copy[0] -> version = 1
    :: else -> goto refused
    fi;
#ifndef FORGET_LEFT
    if
    :: seen[1 - version] -> goto refused
    :: else
    fi;
#endif
#ifndef NO_PAST
    if
    :: started && looked[1 - version] -> goto refused
    :: else
    fi;
#endif
}

active proctype nodeA() {
    byte version, wrote;
    do
    :: applied < changes -> follow()
    :: atomic { applied == changes -> askedBefore = true }
    :: atomic { !started ->
        started = true; known = NONE; askedBefore = false;
        listedSince[0] = listed[0]; listedSince[1] = listed[1] };
        follow()
    :: began != NONE -> break
    od;
    /* The caller takes the stream up; A may not have followed all changes by then. */
    if
    :: known != NONE -> version = known
    :: known == NONE ->
#ifdef FREE_UNKNOWN
       if
       :: copy[0] -> version = 0
       :: copy[1] -> version = 1
       :: else -> goto refused
       fi
#else
       prove(version)
#endif
    fi;
    atomic {
        actual(version, wrote);
        assert(wrote == NONE || wrote == began)
    }
refused:
    takenUp = true
}

init {
    d_step {
        listed[0] = true; wasListed[0] = true; listedSince[0] = true;
        copy[0] = true; seen[0] = true
    }
}
