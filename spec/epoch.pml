/*
 * Change of a group's members (package internal/group).
 *
 * Epoch 1 has the members 0, 1, 2; two coordinators race to establish epoch 2, each
 * with the members 1, 2, 3. Meanwhile a leader of epoch 1 goes on replicating one
 * entry. A coordinator may stop after any step.
 *
 * Properties:
 *   - an entry that a majority of epoch 1 has stored is in the state that epoch 2
 *     starts from;
 *   - all active members of epoch 2 have the same state.
 *
 * Guards, each removed by a macro:
 *   SEAL_ONE           one sealed member is enough, instead of a majority
 *   SEALED_ANSWERS     a sealed member still accepts entries
 *   ANY_PREPARED       a member activates any prepared state, not the decided one
 *   NO_CONDITION       the table accepts a record without comparing the epoch
 *   STATE_OF_FIRST     the state is that of the member sealed first, instead of the
 *                      newest of all sealed members
 */
#define MEMBERS 4

bool sealed[MEMBERS];
bool has[MEMBERS];              /* the entry, in epoch 1 */
bool committed = false;         /* ghost: a majority of epoch 1 has stored it */

/* prepared state, by member and coordinator; 0: none, 1: without the entry, 2: with it */
byte prepared[8];
byte decided = 0;               /* table: the coordinator whose proposal is epoch 2 */
byte decisions = 0;
byte activeState[MEMBERS];      /* state that a member of epoch 2 has activated, 0: not active */

inline replicate(m) {
    if
#ifndef SEALED_ANSWERS
    :: !sealed[m] ->
#else
    :: true ->
#endif
        has[m] = true;
        if
        :: (has[0] && has[1]) || (has[0] && has[2]) || (has[1] && has[2]) -> committed = true
        :: else
        fi
    :: else
    fi
}

active proctype leader() {
    if
    :: true -> atomic { replicate(0) }
    :: true -> skip
    fi;
    do
    :: atomic { has[0] -> replicate(1) }
    :: atomic { has[0] -> replicate(2) }
    :: break
    od
}

proctype coordinator(byte me) {
    byte count = 0;
    byte state = 1;
    byte m;
    byte ready = 0;
    /* seal any of the members; one that it can't reach stays unsealed */
    do
    :: atomic { m < 3 ->
        if
        :: true ->
            sealed[m] = true; count++;
#ifndef STATE_OF_FIRST
            if
            :: has[m] -> state = 2
            :: else
            fi
#else
            if
            :: count == 1 && has[m] -> state = 2
            :: else
            fi
#endif
        :: true -> skip         /* not reached */
        fi;
        m++ }
    :: m == 3 -> break
    od;
#ifndef SEAL_ONE
    if
    :: count >= 2 -> skip
    :: else -> goto done
    fi;
#else
    if
    :: count >= 1 -> skip
    :: else -> goto done
    fi;
#endif
    /* give the state to the members of epoch 2 */
    m = 1;
    do
    :: atomic { m < MEMBERS ->
        if
        :: prepared[m + (me - 1) * MEMBERS] = state; ready++
        :: skip
        fi;
        m++ }
    :: m == MEMBERS -> break
    od;
    if
    :: ready >= 2 -> skip
    :: else -> goto done
    fi;
    /* the table decides */
    atomic {
        if
#ifndef NO_CONDITION
        :: decided == 0 -> decided = me
        :: else -> goto done
#else
        :: decided = me
#endif
        fi
    };
done:
    skip
}

proctype member(byte m) {
    /* learns the decision and activates its prepared state; a member without one
       starts empty and gets the state from the leader, which the model leaves out:
       such a member stays inactive */
end:
    atomic {
        decided != 0 ->
#ifndef ANY_PREPARED
        activeState[m] = prepared[m + (decided - 1) * MEMBERS]
#else
        if
        :: prepared[m] != 0 -> activeState[m] = prepared[m]
        :: prepared[m + MEMBERS] != 0 -> activeState[m] = prepared[m + MEMBERS]
        :: else
        fi
#endif
    }
}

active proctype monitor() {
end:
    atomic {
        (committed && (activeState[1] == 1 || activeState[2] == 1 || activeState[3] == 1)) ||
        (activeState[1] != 0 && activeState[2] != 0 && activeState[1] != activeState[2]) ||
        (activeState[1] != 0 && activeState[3] != 0 && activeState[1] != activeState[3]) ||
        (activeState[2] != 0 && activeState[3] != 0 && activeState[2] != activeState[3]) ->
        assert(false)
    }
}

init {
    atomic {
        run coordinator(1); run coordinator(2);
        run member(1); run member(2); run member(3)
    }
}
