/*
 * What nodes know of a worker's rate limit (worker.LimitStatement,
 * docs/design/worker-limits.md).
 *
 * A worker has a limit or accepts everything, and changes that at any time. Two nodes send
 * it requests; an answer tells the worker's state at some moment between the sending of the
 * request and the receipt of the answer, and answers overtake each other. Node 0 tells node 1
 * the statement that is in force at node 0, with the ages of its sending and receipt; that
 * message takes up to SLACK ticks. The clocks of both nodes run at the same speed and show
 * different times.
 *
 * Property: no node believes that the worker accepts everything if it has received a newer
 * statement that the worker has a limit.
 *
 * Guards, each removed by a macro:
 *   BY_ARRIVAL     the statement that arrives last is in force
 *   LAX_OVERLAP    of two statements whose order isn't known the one that arrives last is in
 *                  force
 *   NO_SLACK       the receiver of a message computes the sending time from the age alone,
 *                  without subtracting SLACK for the time that the message may have taken
 */
#define LAST 2                  /* ticks */
#define SLACK 1
#define SKEW 3                  /* node 1's clock is ahead by this */
#define CHANGES 2
#define SLOTS 2
#define LIMITED 0
#define ALL 1

byte now = 0;
byte state = ALL; byte version = 1;          /* the worker's */

/* Requests in flight. */
#define IDLE 0
#define SENT 1
#define ANSWERED 2
byte step[SLOTS]; byte owner[SLOTS]; byte sentAt[SLOTS]; byte answerState[SLOTS]; byte answerVersion[SLOTS];

/* By node: the statement in force (holds), and as ghosts the newest one that was received. */
bool known[2]; byte holds[2]; byte holdsVersion[2]; short sent[2]; short received[2];
byte newest[2]; byte newestVersion[2];

/* One message from node 0 to node 1. */
bool messagePending = false; byte messageSentAt; byte messageState; byte messageVersion; byte sentAge; byte receivedAge;

#define TIME(n) (now + (n) * SKEW)

inline adopt(n, s, v, from, until) {
    known[n] = true; holds[n] = s; holdsVersion[n] = v; sent[n] = from; received[n] = until
}

inline merge(n, s, v, from, until) {
    if
    :: v > newestVersion[n] -> newestVersion[n] = v; newest[n] = s
    :: else
    fi;
    if
    :: !known[n] || from > received[n] -> adopt(n, s, v, from, until)
#ifdef BY_ARRIVAL
    :: else -> adopt(n, s, v, from, until)
#else
    :: else ->
        if
        :: until < sent[n] -> skip
        :: else ->
            if
#ifdef LAX_OVERLAP
            :: true -> adopt(n, s, v, from, until)
#else
            :: s <= holds[n] ->
                /* either may be the newer one: keep the later sending and the later receipt */
                if
                :: s == holds[n] && v < holdsVersion[n] -> v = holdsVersion[n]
                :: else
                fi;
                if
                :: from < sent[n] -> from = sent[n]
                :: else
                fi;
                if
                :: until < received[n] -> until = received[n]
                :: else
                fi;
                adopt(n, s, v, from, until)
            :: else -> skip
#endif
            fi
        fi
#endif
    fi;
    assert(!(holds[n] == ALL && newest[n] == LIMITED && holdsVersion[n] < newestVersion[n]))
}

short from, until;
byte mergedVersion;                      /* the version that is merged */

inline receiveAnswer(i) {
    from = sentAt[i] + owner[i] * SKEW; until = TIME(owner[i]); mergedVersion = answerVersion[i];
    merge(owner[i], answerState[i], mergedVersion, from, until);
    step[i] = IDLE; owner[i] = 0; sentAt[i] = 0; answerState[i] = 0; answerVersion[i] = 0;
    from = 0; until = 0; mergedVersion = 0
}

inline sendMessage() {
    messagePending = true; messageSentAt = now; messageState = holds[0]; messageVersion = holdsVersion[0];
    sentAge = TIME(0) - sent[0]; receivedAge = TIME(0) - received[0]
}

inline deliver() {
    from = TIME(1) - sentAge; until = TIME(1) - receivedAge;
#ifndef NO_SLACK
    from = from - SLACK;
#endif
    mergedVersion = messageVersion;
    merge(1, messageState, mergedVersion, from, until);
    messagePending = false; messageSentAt = 0; messageState = 0; messageVersion = 0; sentAge = 0; receivedAge = 0;
    from = 0; until = 0; mergedVersion = 0
}

#define REQUEST(i) \
    :: atomic { step[i] == IDLE -> step[i] = SENT; sentAt[i] = now; if :: owner[i] = 0 :: owner[i] = 1 fi } \
    :: atomic { step[i] == SENT -> step[i] = ANSWERED; answerState[i] = state; answerVersion[i] = version } \
    :: atomic { step[i] == ANSWERED -> receiveAnswer(i) }

active proctype system() {
end: do
    REQUEST(0)
    REQUEST(1)
    :: atomic { version <= CHANGES -> version++; state = 1 - state }
    :: atomic { now < LAST && !(messagePending && now - messageSentAt >= SLACK) -> now++ }
    :: atomic { known[0] && !messagePending -> sendMessage() }
    :: atomic { messagePending -> deliver() }
    od
}
