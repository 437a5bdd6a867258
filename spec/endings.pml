/*
 * What a node tells its caller of the end of a stream (package internal/dispatch).
 *
 * A worker sends a stream of events, each in two parts; the second part ends the event. Its
 * answer is framed (it has an end mark) or unframed (it ends with its connection). At any moment
 * the worker may crash, or break off this one answer; its connection is then closed in order or
 * reset. A worker that breaks off a framed answer may even mark an end. The node passes the parts
 * on, and frames its own answer by the worker's that it passes on first. A stream that has broken
 * off is resumed at another worker after the last whole event, if its route allows that. The
 * node may end at any moment.
 *
 * Properties: a caller that gets an end mark has all events; one whose connection is closed in
 * order has all events, or its answer is unframed, not known to have broken off, and not inside
 * an event; no part comes twice or is missing; a stream that may not be resumed runs once.
 *
 * Guards, each removed by a macro:
 *   NO_UNPROVED        an orderly end of an unframed answer counts as complete
 *   NO_EVENTS          the end of an answer is not compared with the ends of events
 *   NO_PROBE           the worker isn't probed at the end of an unframed answer
 *   NO_LATE_PROBE      a probe counts that was made before the end of the answer
 *   NO_PROMISE         an unproved end counts although the caller was promised a mark
 *   NO_RESET           what broke off, or whose node ends, is closed in order
 *   NO_WHOLE_EVENTS    parts of events are passed on of a stream that may be resumed
 */
#define EVENTS 2
#define PARTS (2 * EVENTS)
#define RUNS 3

bool resumable;                 /* the route allows to resume */
byte runs = 0;
byte got = 0;                   /* parts that the caller has */
bool headGiven = false;
bool vouches = false;           /* the caller was promised an end mark */

/* The current run: its framing, the parts sent in all, and how it ended. */
bool framed;
byte sent;
bool alive;                     /* the worker lives */
bool seenAlive;                 /* a probe before the end found the worker alive */
bool broke;                     /* ghost: it ended before its last part */

mtype = { MARKED, CLOSED, RESET };
mtype end;

#define inside(parts) ((parts) % 2 == 1)

#ifdef NO_RESET
#define abortEnd CLOSED
#else
#define abortEnd (vouches -> CLOSED : RESET)
#endif

/* The caller sees an end. Without the promised mark, a closed connection shows that the answer
 * broke off. known: the node knows that it has. */
inline tell(seen, known) {
    if
    :: (seen) == MARKED -> assert(vouches && got == PARTS)
    :: (seen) == CLOSED && !vouches && headGiven -> assert(got == PARTS || !(known) && !inside(got))
    :: else
    fi;
    goto done
}

inline giveHead() {
    if
    :: !headGiven -> headGiven = true; vouches = framed
    :: else
    fi
}

/* The node has received part number sent. Of a stream that may be resumed it passes on whole
 * events only. */
inline passOn() {
    if
#ifndef NO_WHOLE_EVENTS
    :: resumable && inside(sent) -> skip
    :: resumable && !inside(sent) -> giveHead(); assert(got == sent - 2); got = sent
    :: !resumable -> giveHead(); assert(got == sent - 1); got = sent
#else
    :: true -> giveHead(); assert(got == sent - 1); got = sent
#endif
    fi
}

/* A run sends what follows the last whole event that the caller has. */
inline attempt() {
    runs++;
    assert(resumable || runs == 1);
    alive = true;
    seenAlive = false;
    broke = false;
    sent = got - (got % 2);
    if
    :: framed = true
    :: framed = false
    fi;
    do
    :: sent < PARTS -> sent++; passOn()
    :: !seenAlive -> seenAlive = true
    :: sent == PARTS -> end = (framed -> MARKED : CLOSED); break
    :: broke = sent < PARTS; alive = false; end = CLOSED; break
    :: broke = sent < PARTS; alive = false; end = RESET; break
    :: sent < PARTS -> broke = true; end = CLOSED; break
    :: sent < PARTS -> broke = true; end = RESET; break
    :: framed && inside(sent) -> broke = true; end = MARKED; break
    /* the node ends */
    :: headGiven -> tell(abortEnd, true)
    od
}

#ifdef NO_PROBE
#define crashed false
#else
#ifdef NO_LATE_PROBE
#define crashed (!alive && !seenAlive)
#else
#define crashed (!alive)
#endif
#endif

#ifdef NO_EVENTS
#define endsInside false
#else
#define endsInside inside(sent)
#endif

#define unproved (!framed && end == CLOSED)

active proctype node() {
    if
    :: resumable = true
    :: resumable = false
    fi;
again:
    attempt();
    if
    :: end == MARKED && !endsInside || unproved && !endsInside && !crashed ->
        giveHead();
        if
        :: end == MARKED && vouches -> tell(MARKED, false)
        :: end == MARKED && !vouches -> tell(CLOSED, false)
#ifdef NO_UNPROVED
        :: end == CLOSED -> vouches = true; tell(MARKED, false)
#else
#ifdef NO_PROMISE
        :: end == CLOSED && vouches -> tell(MARKED, false)
#endif
        :: end == CLOSED && !vouches -> tell(CLOSED, broke && !alive)
#endif
#ifndef NO_PROMISE
        :: end == CLOSED && vouches -> skip
#endif
        fi
    :: else
    fi;
    if
    :: resumable && runs < RUNS -> goto again
    :: else -> tell(abortEnd, true)
    fi;
done:
    skip
}
