/*
 * Each window of usage is reported with one set of counts (package internal/usage): a report is
 * recorded in the store before it is sent, by a conditional write, by the node that holds the
 * lease.
 *
 * Two nodes have gathered different counts for the same window. The lease is as in
 * storelease.pml, here without its clocks: it may expire at any time, and is taken only when
 * nobody else can hold it. Transactions and reports may be carried out at any later time, even
 * after their sender has lost the lease or stopped waiting for them, and are answered then or
 * never; a report may be carried out twice. A node may pause between any two steps.
 *
 * Properties: the platform accepts no two reports of the window with different counts; a node
 * sends a report only while it holds the lease and no other node does; what the platform accepts
 * has no lower fence than what it accepted before.
 *
 * Guards, each removed by a macro:
 *   NO_RECORD          a node reports the counts that it has gathered, without recording them
 *   NO_ABSENCE         a window is recorded over another record of it
 *   NO_WAIT            a node takes the lease while another may hold it
 *   NO_RECHECK         a node sends a report without checking its lease again
 *   NO_FENCE           the platform does not compare fences
 *
 * Variants, in which the model holds too, each chosen by a macro:
 *   UNFENCED           the platform doesn't compare fences, and may accept lower ones; it
 *                      still accepts only one set of counts for the window (unfenced.pml
 *                      models the fences)
 */
#define LAST_VERSION 3

byte version = 0;               /* of the lease's row */
byte record = 0;                /* 1 + node whose counts are recorded, 0: none */
byte reported = 0;              /* the same for the report that the platform accepted */
byte highest = 0;               /* fence of that report */

bool holds[2]; byte fence[2];   /* the node's lease */
byte known[2];                  /* the record as the node has read it last */
bool writing[2]; byte leaseVersion[2]; /* a write of the record in transit, and its condition */
bool decided[2];                /* a report is about to be sent */
bool sent[2]; byte reportOf[2]; byte sentFence[2]; /* a report in transit */

#ifdef NO_RECORD
#define REPORT_OF(i) (i + 1)
#define MAY_DECIDE(i) true
#else
#define REPORT_OF(i) known[i]
#define MAY_DECIDE(i) (known[i] != 0)
#endif
#ifdef NO_ABSENCE
#define ABSENT true
#else
#define ABSENT (record == 0)
#endif
#ifdef NO_WAIT
#define FREE(i) true
#else
#define FREE(i) !holds[1 - i]
#endif
#ifdef NO_RECHECK
#define MAY_SEND(i) true
#else
#define MAY_SEND(i) holds[i]
#endif
#if defined(NO_FENCE) || defined(UNFENCED)
#define ACCEPTS(f) true
#else
#define ACCEPTS(f) ((f) >= highest)
#endif

#ifdef UNFENCED
#define FENCE_IN_ORDER(f) true
#else
#define FENCE_IN_ORDER(f) ((f) >= highest)
#endif

inline carryOutRecord(i) {
    if
    :: version == leaseVersion[i] && ABSENT -> record = i + 1
    :: else
    fi
}

inline carryOutReport(i) {
    if
    :: ACCEPTS(sentFence[i]) ->
        assert(reported == 0 || reported == reportOf[i]);
        assert(FENCE_IN_ORDER(sentFence[i]));
        reported = reportOf[i];
        highest = sentFence[i]
    :: else
    fi
}

#define STEPS(i) \
    :: d_step { !holds[i] && FREE(i) && version < LAST_VERSION -> \
        version++; holds[i] = true; fence[i] = version } \
    :: d_step { holds[i] -> holds[i] = false } \
    :: d_step { holds[i] && !writing[i] && known[i] == 0 -> writing[i] = true; leaseVersion[i] = fence[i] } \
    :: d_step { writing[i] -> carryOutRecord(i); writing[i] = false; leaseVersion[i] = 0 } \
    :: d_step { writing[i] -> carryOutRecord(i) } \
    :: d_step { known[i] != record -> known[i] = record } \
    :: d_step { holds[i] && !decided[i] && !sent[i] && MAY_DECIDE(i) -> decided[i] = true } \
    :: d_step { decided[i] && MAY_SEND(i) -> \
        decided[i] = false; \
        assert(holds[i] && !holds[1 - i]); \
        sent[i] = true; reportOf[i] = REPORT_OF(i); sentFence[i] = fence[i] } \
    :: d_step { decided[i] && !holds[i] -> decided[i] = false } \
    :: d_step { sent[i] -> carryOutReport(i); sent[i] = false; reportOf[i] = 0; sentFence[i] = 0 } \
    :: d_step { sent[i] -> carryOutReport(i) } \
    :: d_step { sent[i] -> sent[i] = false; reportOf[i] = 0; sentFence[i] = 0 }

active proctype system() {
end: do
    STEPS(0)
    STEPS(1)
    od
}
