/*
 * Whose answer is this: one connection to a worker that carries one request after the other (package
 * internal/workerconn).
 *
 * Requests of callers have an id, which their answers repeat; questions of the node's own have none.
 * The worker answers in order, and may send an answer that it has given again, once each, in the
 * place where a later answer is due: one without an id in that of the next one. The connection may be lent to another node between two requests.
 *
 * Property: a request takes the first answer that was made for it, and no other one.
 *
 * Guards, each removed by a macro:
 *   SAME_ID         the connection carries an id again
 *   SAME_QUESTION   the connection carries a second question
 *   TAKES_UNMARKED  a request takes an answer without an id although a question was carried
 *   TAKES_MARKED    a question takes an answer with an id
 *   LENT_USED       a connection that has carried something is lent
 */
#define QUESTION 0
#define IDS 3                   /* QUESTION and the ids 1 and 2 */
#define SENDS 4
#define PLACES 8

byte idOf[SENDS];               /* of the requests sent */
byte sent = 0;
bool carried[IDS];              /* as the node that has the connection knows */
bool repeated[SENDS];           /* answers that came again */

chan wire = [PLACES] of { byte };   /* the number of the request that an answer was made for */
bool asked = false;             /* a request waits for its answer */

inline repeatSome() {
    byte which = 0;
    do
    :: which + 1 < sent && !repeated[which] && (idOf[which] != QUESTION || which + 2 == sent) -> repeated[which] = true; wire!which; which++
    :: which + 1 < sent -> which++
    :: else -> break
    od
}

active proctype worker() {
end:
    do
    :: atomic { asked -> repeatSome(); wire!(sent - 1); asked = false }
    od
}

inline maySend(id) {
#ifdef SAME_ID
    (!carried[id] || id != QUESTION)
#else
#ifdef SAME_QUESTION
    (!carried[id] || id == QUESTION)
#else
    !carried[id]
#endif
#endif
}

active proctype node() {
    byte id, answer;
    do
    :: sent < SENDS ->
       if                       /* lent: what was carried before isn't known any more */
#ifdef LENT_USED
       :: carried[0] = false; carried[1] = false; carried[2] = false
#endif
       :: skip
       fi;
       if
       :: id = 0
       :: id = 1
       :: id = 2
       fi;
       if
       :: maySend(id) -> skip
       :: else -> break         /* another connection is used */
       fi;
       atomic { idOf[sent] = id; sent++; asked = true };
       do
       :: wire?answer ->
          if
          :: id != QUESTION && idOf[answer] == id -> break
          :: id == QUESTION && idOf[answer] == QUESTION -> break
#ifdef TAKES_UNMARKED
          :: id != QUESTION && idOf[answer] == QUESTION -> break
#endif
#ifdef TAKES_MARKED
          :: id == QUESTION && idOf[answer] != QUESTION -> break
#endif
          :: else -> skip       /* dropped */
          fi
       od;
       carried[id] = true;
       if
       :: id != QUESTION -> carried[QUESTION] = false
       :: else
       fi;
       assert(answer == sent - 1)
    :: else -> break
    od
}
