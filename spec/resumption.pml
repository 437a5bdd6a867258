/*
 * A stream that its caller takes up at another node (package internal/resumption).
 *
 * Workers of two versions come and go in the store's list. Node B begins a stream at a worker that
 * is listed, or was a moment ago by its copy, and tells node A, which may lose the message. The
 * stream may break off and go on within the answer. Then the caller takes it up at A, which follows
 * the list with delay and may start again, with nothing in its memory but the list as it is then. A
 * worker may start again under its name at the other version before its entry says so.
 *
 * The keeper writes to the store which versions were listed, if the store takes that: a version may
 * come and go without it. A stream begins only at a version that the store shows. The store may come
 * back from an older copy, in another era; what is written after that is complete only for streams
 * that begin once every node has heard of the restore, which the model leaves out.
 *
 * Property: a stream goes on only at the version that brought its first event.
 *
 * Guards, each removed by a macro:
 *   NO_BIND         within an answer the stream goes on anywhere
 *   TELL_PLANNED    the version is told when the request is sent, before the first event
 *   FREE_UNKNOWN    a stream that A doesn't know goes on anywhere
 *   NO_PAST         A takes the only version that is listed, not the only one that the store shows
 *   BEGIN_UNSHOWN   B begins a stream at a version that the store doesn't show
 *   OLD_ERA         A relies on what was written before a restore, or soon after it
 *   NO_VERIFY       a worker's incarnation isn't verified before a stream is sent
 *   SKIP_UNLISTED   the incarnation isn't verified if it has left the list since the worker was chosen
 */
#define NONE 2
#define VERSIONS 2
#define MAX_CHANGES 3

bool listed[VERSIONS];
bool wasListed[VERSIONS];       /* once at least */
bool shown[VERSIONS];           /* by the store, as the keeper has written */
bool wasShown[VERSIONS];        /* at some time */
bool restored = false;
byte changes = 0;
bool reborn = false;            /* workers of version 0 run version 1 */
bool relisted = false;          /* and their entries say so */

/* Node A. */
byte known = NONE;
bool started = false;           /* again */

byte began = NONE;              /* the version of the first event */
bool told = false;
byte tells = NONE;
bool takenUp = false;

/* The version that a worker writes which is taken for one of a version, NONE if it is left out. */
inline actual(version, result) {
    if
    :: version == 0 && relisted ->
#ifdef SKIP_UNLISTED
       result = 1
#else
       result = NONE
#endif
    :: version == 0 && reborn && !relisted ->
#ifdef NO_VERIFY
       result = 1
#else
       result = NONE
#endif
    :: else -> result = version
    fi
}

active proctype list() {
end:
    do
    :: atomic { changes < MAX_CHANGES && !listed[1] ->
        listed[1] = true; wasListed[1] = true; changes++ }
    :: atomic { changes < MAX_CHANGES && listed[1] -> listed[1] = false; changes++ }
    :: atomic { changes < MAX_CHANGES && listed[0] -> listed[0] = false; changes++ }
    :: atomic { listed[0] && !reborn -> reborn = true }
    :: atomic { reborn && !relisted && changes < MAX_CHANGES ->
        listed[0] = false; listed[1] = true; wasListed[1] = true; changes++; relisted = true }
    :: takenUp -> break
    od
}

active proctype keeper() {
end:
    do
    :: atomic { listed[0] && !shown[0] -> shown[0] = true; wasShown[0] = true }
    :: atomic { listed[1] && !shown[1] -> shown[1] = true; wasShown[1] = true }
    :: atomic { !restored -> restored = true; shown[0] = false; shown[1] = false }
    :: takenUp -> break
    od
}

/* B may not have heard of a restore. */
#ifdef BEGIN_UNSHOWN
#define mayBegin(v) true
#else
#define mayBegin(v) (wasShown[v])
#endif

active proctype nodeB() {
    byte version, wrote;
end:
    if
    :: wasListed[0] && mayBegin(0) -> version = 0
    :: wasListed[1] && mayBegin(1) -> version = 1
    fi;
#ifdef TELL_PLANNED
    tells = version; told = true;
#endif
    if
    :: skip
    :: wasListed[1 - version] && mayBegin(1 - version) -> version = 1 - version  /* the first worker failed before its first event */
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
end:
    if
    :: atomic { told -> known = tells }
    :: takenUp
    fi
}

inline prove(version) {
#ifdef NO_PAST
    if
    :: listed[0] && !listed[1] -> version = 0
    :: listed[1] && !listed[0] -> version = 1
    :: else -> goto refused
    fi
#else
    if
    :: shown[0] && !shown[1] -> version = 0
    :: shown[1] && !shown[0] -> version = 1
    :: else -> goto refused
    fi;
#ifndef OLD_ERA
    if
    :: restored -> goto refused
    :: else
    fi
#endif
#endif
}

active proctype nodeA() {
    byte version, wrote;
end:
    do
    :: atomic { !started -> started = true; known = NONE }
    :: began != NONE -> break
    od;
    if
    :: known != NONE -> version = known
    :: known == NONE ->
#ifdef FREE_UNKNOWN
       if
       :: listed[0] -> version = 0
       :: listed[1] -> version = 1
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
        listed[0] = true; wasListed[0] = true
    }
}
