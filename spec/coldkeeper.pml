/*
 * Keepers of a quota that start again and again (package internal/nodeexchange, quota_cold.go).
 *
 * Two nodes use up an account of BURST units without refill. Keeper 0 is asked first; it starts
 * RESTARTS times without its state, and may then grant COLD units. Keeper 1 knows all use that
 * was reported. A keeper that has started says with its decision that it doesn't know what was
 * used before; then the other keeper is asked, and the decision of the one that knows more
 * holds. Keeper 1 leaves AWAY requests unanswered. Use is reported to both keepers sooner or
 * later; a node sends no further request before that (as in quota.pml).
 *
 * Property: the units used are at most BURST, plus one for each request that keeper 1 left
 * unanswered, plus one that two keepers grant at the same moment.
 *
 * Guards, each removed by a macro:
 *   COLD_FINAL         the grant of a keeper that has just started holds
 *   COLD_PREFERRED     of two decisions the one that grants holds, whoever knows more
 */
#define BURST 2
#define COLD 1
#define RESTARTS 4
#define AWAY 1

byte used = 0;
byte restarts = 0;
byte away = 0;
byte charged[2];                /* what a keeper has charged */
byte limit[2];                  /* what it may grant in all */
byte unreported[4];             /* units that node n hasn't reported to keeper k, at 2k + n */
byte refunds[4];                /* units that it hasn't told to be given back */

#define granted(k) (charged[k] < limit[k])
#define settled(n) (unreported[n] == 0 && unreported[2 + (n)] == 0 && refunds[n] == 0 && refunds[2 + (n)] == 0)

inline use(n) {
    used++;
    assert(used <= BURST + away + 1)
}

/* Keeper 0 decides first. */
inline charge(n) {
    if
    :: restarts == 0 -> /* it knows all use */
        if
        :: granted(0) -> charged[0]++; unreported[2 + n]++; use(n)
        :: else
        fi
    :: restarts > 0 && granted(0) ->
        charged[0]++;
        if
#ifdef COLD_FINAL
        :: true -> unreported[2 + n]++; use(n)
#else
        :: granted(1) -> charged[1]++; use(n)
        :: !granted(1) ->
#ifdef COLD_PREFERRED
            unreported[2 + n]++; use(n)
#else
            refunds[n]++
#endif
        :: away < AWAY -> away++; unreported[2 + n]++; use(n)
#endif
        fi
    :: restarts > 0 && !granted(0) ->
        if
        :: granted(1) -> charged[1]++; unreported[n]++; use(n)
        :: !granted(1) || away < AWAY -> skip
        fi
    fi
}

active [2] proctype node() {
    byte k;
end: do
    :: atomic { settled(_pid) -> charge(_pid) }
    :: atomic { unreported[_pid] > 0 -> unreported[_pid]--; charged[0]++ }
    :: atomic { unreported[2 + _pid] > 0 -> unreported[2 + _pid]--; charged[1]++ }
    :: atomic { refunds[_pid] > 0 -> refunds[_pid]--; charged[0]-- }
    od
}

active proctype faults() {
    limit[0] = BURST; limit[1] = BURST;
end: do
    :: atomic { restarts < RESTARTS && refunds[0] + refunds[1] + unreported[0] + unreported[1] == 0 ->
        restarts++; charged[0] = 0; limit[0] = COLD }
    od
}
