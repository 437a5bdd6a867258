/*
 * At most one run of a request with an idempotency key (packages internal/ledger
 * and internal/gateway).
 *
 * Two gateways serve the same key; either may stop for ever at any point, while it
 * still has the request. Dispatches are delayed and lost. The engine crashes and
 * restarts as another incarnation without any state. The ledger is modelled as a
 * single register, which package internal/replica provides (lease.pml, epoch.pml); it
 * may lose its state together with a majority of its group. After some time an engine
 * discards the attempts that it has accepted, but not those that it was told to refuse.
 * To claim a key is to record in the ledger the attempt that runs its request; it is not
 * the order of that name in authority.pml.
 *
 * Property: the request is run at most once.
 *
 * Guards, each removed by a macro:
 *   DISPATCH_FIRST     the request is sent to the engine before the key is claimed
 *   NO_TOMBSTONE       an attempt that the engine does not know is replaced without
 *                      telling the engine to refuse it from then on
 *   BLIND_REPLACE      the ledger replaces the attempt on record without comparing it
 *   RESTART_IS_NOT_RUN an engine's restart is taken as proof that nothing ran
 *   NO_TICKET_INCARNATION  the engine accepts tickets for another incarnation
 *   NO_AGE_LIMIT       an engine is asked about an attempt that it may have discarded
 *   NO_FORGET          a ledger that has lost its state treats unknown keys as new
 */
#define NONE 0
#define LAST_ATTEMPT 4
#define LAST_INCARNATION 2

#ifdef NO_FORGET
#define MAY_BE_NEW true
#else
#define MAY_BE_NEW (!forgot)
#endif
#ifdef NO_AGE_LIMIT
#define TOO_OLD false
#else
#define TOO_OLD aged
#endif
#ifdef BLIND_REPLACE
#define MATCHES(a) true
#else
#define MATCHES(a) (record == a)
#endif

/* ledger */
byte record = NONE;             /* attempt on record */
byte recordIncarnation = 0;     /* incarnation that its ticket names */
bool lostStatus = false;        /* the outcome is recorded as unknown, which is final */
bool forgot = false;            /* the ledger has lost its state */

/* engine */
byte incarnation = 1;
bool seen[5];
bool refused[5];
bool aged = false;              /* the engine has discarded the attempts that it accepted */

byte runs = 0;                  /* ghost: times that the request was run */
byte nextAttempt = 1;

chan dispatches = [3] of { byte, byte };    /* attempt, incarnation of its ticket */

inline accept(attempt, ticket) {
    if
#ifndef NO_TICKET_INCARNATION
    :: ticket != incarnation
#endif
    :: refused[attempt]
    :: seen[attempt]
    :: else ->
        seen[attempt] = true;
        runs++;
        assert(runs <= 1)
    fi
}

proctype gateway() {
    byte attempt, ticket, other, otherTicket;
    bool granted;
start:
    /* placement: a ticket for a new attempt */
    atomic {
        if
        :: nextAttempt > LAST_ATTEMPT -> goto done
        :: else -> attempt = nextAttempt; nextAttempt++; ticket = incarnation
        fi
    };
#ifdef DISPATCH_FIRST
    atomic { dispatches ! attempt, ticket }
#endif
    /* claim */
    atomic {
        granted = false;
        if
        :: lostStatus -> goto done          /* answered: outcome unknown */
        :: !lostStatus && record == NONE && !MAY_BE_NEW -> goto done            /* answered: outcome unknown */
        :: !lostStatus && record == NONE && MAY_BE_NEW -> record = attempt; recordIncarnation = ticket; granted = true
        :: !lostStatus && record != NONE -> other = record; otherTicket = recordIncarnation
        fi
    };
    if
    :: granted -> goto send
    :: else
    fi;
takeover:
    /* ask the engine about the attempt on record */
    atomic {
        if
        :: TOO_OLD -> goto done             /* answered: outcome unknown */
        :: !TOO_OLD && incarnation != otherTicket ->
#ifndef RESTART_IS_NOT_RUN
            if
            :: record == other -> lostStatus = true
            :: else
            fi;
            goto done
#else
            skip
#endif
        :: !TOO_OLD && incarnation == otherTicket && seen[other] -> goto done   /* attach to its stream */
        :: !TOO_OLD && incarnation == otherTicket && !seen[other] ->
#ifndef NO_TOMBSTONE
            refused[other] = true
#else
            skip
#endif
        fi
    }
    /* replace the attempt on record by this one */
    atomic {
        if
        :: lostStatus -> goto done
        :: !lostStatus && MATCHES(other) -> record = attempt; recordIncarnation = ticket
        :: !lostStatus && !MATCHES(other) && record != NONE ->
            other = record; otherTicket = recordIncarnation; goto takeover
        :: !lostStatus && !MATCHES(other) && record == NONE -> goto done
        fi
    }
send:
#ifndef DISPATCH_FIRST
    atomic { nfull(dispatches) -> dispatches ! attempt, ticket }
#endif
    if
    :: goto start               /* a later caller with the same key starts anew */
    :: goto done
    fi;
done:
    skip
}

active proctype engine() {
    byte attempt, ticket, k;
end:
    do
    :: atomic { dispatches ?? attempt, ticket -> accept(attempt, ticket); attempt = 0; ticket = 0 }
    :: atomic { dispatches ?? attempt, ticket -> attempt = 0; ticket = 0 }      /* lost */
    :: atomic { incarnation < LAST_INCARNATION ->
        incarnation++;
        seen[1] = false; seen[2] = false; seen[3] = false; seen[4] = false;
        refused[1] = false; refused[2] = false; refused[3] = false; refused[4] = false }
    :: atomic { !aged -> aged = true;
        seen[1] = false; seen[2] = false; seen[3] = false; seen[4] = false }
    :: atomic { !forgot -> forgot = true; record = NONE; recordIncarnation = 0 }
    od
}

init {
    atomic { run gateway(); run gateway() }
}
