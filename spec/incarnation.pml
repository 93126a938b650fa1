/*
 * A worker that starts again under its id, and the leader's session of it:
 * numbers of ends, acknowledgements, tokens and starts without an answer.
 *
 * Two tasks, one worker, one leader. The worker may start again at any moment; it
 * then has no run, no end and no token, and counts its ends from 1. A
 * start may be carried out before or after it is given up, but one that a raised
 * token shuts out not by a later incarnation: nothing could shut it out there,
 * as that has seen no token. A renewal may lose its answer. The clock may or may not show a restart in the answer to a start.
 * docs/design/platform.md maps the steps to functions.
 *
 * Promises: no task starts after an end as done that was or is acknowledged, none
 * after as many acknowledged failures as are allowed, and no end is forgotten
 * that the leader has not noted.
 *
 * Variants that must be found wrong:
 *   -DKEEP_NUMBERS   the numbers of a former incarnation are kept
 *   -DACK_ORDERED    a number is acknowledged while a start is unanswered
 *   -DACK_UNPROVEN   a number is acknowledged before a list shows a new run
 *   -DACK_UNSYNCED   a number is acknowledged before the raised token is seen
 *   -DUNCOUNTED      a failure is noted and not counted
 *   -DJUDGE_PARTIAL  a run counts as absent by a list that may hold ends back
 */

#define TASKS 2
#define ATTEMPTS 2
#define FAILURES 1
#define RESTARTS 1
#define NUMBERS 3
#define TOKENS 3
#define LISTED 1                 /* the most ends in one list */

#define IDLE 0
#define ORDERED 1
#define UNKNOWN 2
#define RUNNING 3

/* The worker. */
byte incarnation = 1;
byte counted = 0;                /* ends so far in this incarnation */
byte end_of[NUMBERS];            /* task + 1 of each listed end, 0 for none */
bool end_failed[NUMBERS];
byte running[TASKS];             /* the attempt that runs, 0 for none */
byte ended[TASKS];               /* the highest attempt that ended here */
byte seen = 0;                   /* the highest token */
byte restarts = 0;
bool again[TASKS];               /* it started after an end that is listed */
bool clock_back = false;         /* the clock is below what the leader read */

/* What was acknowledged, in any incarnation. */
bool done_told[TASKS];
byte failures_told[TASKS];

/* A start on its way: 1 sent, 2 carried out, 3 given up and not carried out. */
byte flight = 0;
byte flight_task;
byte flight_attempt;
byte flight_token;

/* The leader. */
byte known = 1;                  /* the incarnation that answered last */
byte noted = 0;
byte stored = 0;
byte told = 0;
byte token = 1;
bool synced = true;
byte state[TASKS];
byte attempt[TASKS];
byte order_token[TASKS];
bool unproven[TASKS];            /* a start was answered, no list shows it */
bool done[TASKS];
byte failures[TASKS];
bool was_noted;

inline begin_anew() {
    noted = 0; stored = 0; told = 0
}

inline raise() {
    token++; synced = false;
    if
    :: state[0] == ORDERED -> state[0] = UNKNOWN
    :: else -> skip
    fi;
    if
    :: state[1] == ORDERED -> state[1] = UNKNOWN
    :: else -> skip
    fi
}

inline carry_out() {
    if
    :: (flight_token >= seen && flight_attempt > ended[flight_task] &&
        running[flight_task] == 0) ->
        seen = flight_token;
        assert(!done_told[flight_task]);
        if
        :: (end_of[1] == flight_task + 1 && !end_failed[1]) ||
           (end_of[2] == flight_task + 1 && !end_failed[2]) ->
            again[flight_task] = true
        :: else -> skip
        fi;
        assert(failures_told[flight_task] < FAILURES);
        running[flight_task] = flight_attempt
    :: else -> skip
    fi
}

proctype Worker() {
    byte t;
    do
    :: atomic {                  /* a run ends, as done or as failed */
        counted < NUMBERS - 1 ->
        if
        :: running[0] != 0 -> t = 0
        :: running[1] != 0 -> t = 1
        fi;
        counted++;
        end_of[counted] = t + 1;
        if
        :: end_failed[counted] = true
        :: end_failed[counted] = false
        fi;
        ended[t] = running[t]; running[t] = 0
       }
    :: atomic {                  /* it starts again under its id */
        restarts < RESTARTS ->
        restarts++; incarnation++; counted = 0; seen = 0;
        end_of[1] = 0; end_of[2] = 0;
        running[0] = 0; running[1] = 0; ended[0] = 0; ended[1] = 0;
        again[0] = false; again[1] = false;
        if                       /* what was shut out is gone with it */
        :: flight == 3 -> flight = 0
        :: flight == 1 && flight_token < token -> flight = 0
        :: else -> skip
        fi;
        if
        :: clock_back = true
        :: clock_back = false
        fi
       }
    :: atomic { flight == 1 -> carry_out(); flight = 2 }
    :: atomic { flight == 3 -> carry_out(); flight = 0 }
    :: timeout -> break
    od
}

/* Forget the ends up to a number, as a renewal asks. */
inline forget(number) {
    n = 1;
    do
    :: n <= number ->
        if
        :: end_of[n] != 0 ->
            t = end_of[n] - 1;
            was_noted = (known == incarnation && n <= noted);
            assert(was_noted);   /* nothing is forgotten unread */
            if
            :: end_failed[n] -> failures_told[t]++
            :: else -> done_told[t] = true; assert(!again[t])
            fi;
            end_of[n] = 0
        :: else -> skip
        fi;
        n++
    :: else -> break
    od
}

/* List the ends with the lowest numbers; there may be more of them. */
inline list_ends() {
    n = 1; listed = 0; last = 0;
    do
    :: n <= counted && listed < LISTED ->
        if
        :: end_of[n] != 0 -> listed++; last = n
        :: else -> skip
        fi;
        n++
    :: else -> break
    od;
    partial = (listed == LISTED)
}

/* Take the listed ends above the highest noted number. */
inline take_ends() {
    n = noted + 1;
    do
    :: n <= last ->
        if
        :: end_of[n] != 0 ->
            t = end_of[n] - 1;
            if
#ifndef UNCOUNTED
            :: end_failed[n] && !done[t] -> failures[t]++
#else
            :: end_failed[n] && !done[t] -> skip
#endif
            :: !end_failed[n] -> done[t] = true
            :: else -> skip
            fi;
            state[t] = IDLE; unproven[t] = false
        :: else -> skip
        fi;
        noted = n;
        n++
    :: else -> break
    od
}

inline take_run(task) {
    /* A start that was answered before was carried out by now. */
    unproven[task] = false;
    if
    :: running[task] != 0 && state[task] == UNKNOWN -> state[task] = RUNNING
#ifndef JUDGE_PARTIAL
    :: running[task] == 0 && partial -> skip
    :: !partial && running[task] == 0 && state[task] == RUNNING ->
        state[task] = IDLE
    :: (!partial && running[task] == 0 && state[task] == UNKNOWN &&
        order_token[task] < token) -> state[task] = IDLE
#else
    :: running[task] == 0 && state[task] == RUNNING -> state[task] = IDLE
    :: (running[task] == 0 && state[task] == UNKNOWN &&
        order_token[task] < token) -> state[task] = IDLE
#endif
    :: else -> skip
    fi
}

#define ANY_ORDERED (state[0] == ORDERED || state[1] == ORDERED)

inline choose_number() {
    ack = stored;
    if
    :: stored <= told -> ack = 0
    :: else -> skip
    fi;
#ifndef ACK_ORDERED
    if
    :: ANY_ORDERED -> ack = 0
    :: else -> skip
    fi;
#endif
#ifndef ACK_UNPROVEN
    if
    :: unproven[0] || unproven[1] -> ack = 0
    :: else -> skip
    fi;
#endif
#ifndef ACK_UNSYNCED
    if
    :: !synced -> ack = 0
    :: else -> skip
    fi
#endif
}

proctype Leader() {
    byte n;
    byte t;
    byte ack;
    byte listed;
    byte last;
    bool partial;
    do
    :: atomic {                  /* order a start */
        flight == 0 && synced ->
        if
        :: t = 0
        :: t = 1
        fi;
        if
        :: (state[t] == IDLE && !done[t] && failures[t] < FAILURES &&
            attempt[t] < ATTEMPTS) ->
            attempt[t]++; state[t] = ORDERED; order_token[t] = token;
            flight = 1; flight_task = t; flight_attempt = attempt[t];
            flight_token = token
        :: else -> skip
        fi
       }
    :: atomic {                  /* its answer comes */
        flight == 2 ->
        if
        :: state[flight_task] == ORDERED ->
            state[flight_task] = RUNNING; unproven[flight_task] = true
        :: else -> skip
        fi;
        flight = 0;
        if
        :: clock_back -> begin_anew(); raise()
        :: else -> skip
        fi;
        clock_back = false
       }
    :: atomic {                  /* it does not come */
        flight == 1 && token < TOKENS -> raise(); flight = 3
       }
    :: atomic { flight == 2 && token < TOKENS -> raise(); flight = 0 }
    :: atomic { stored < noted -> stored = noted }
    :: atomic {                  /* renew, answered or not */
        token >= seen ->
        choose_number();
        seen = token;
        forget(ack);
        if
        :: token < TOKENS -> raise() /* the answer is lost */
        :: told = (ack > told -> ack : told);
           clock_back = false;
           if
           :: known != incarnation ->
               known = incarnation;
#ifndef KEEP_NUMBERS
               begin_anew()
#endif
           :: else -> skip
           fi;
           synced = true;
           list_ends();
           take_run(0); take_run(1);
           take_ends()
        fi
       }
    :: timeout -> break
    od
}

init {
    atomic { run Worker(); run Leader() }
}
