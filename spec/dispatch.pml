/*
 * The leader's protocol for tasks under leases: win the row, mark, start,
 * settle an unanswered order by a raised token, note an end, acknowledge it.
 *
 * One task, two workers, two leaders. Leader 0 leads first; it may stop for
 * ever between any two steps, and leader 1 may take over at any moment, also
 * while leader 0 still believes that it leads. Any write to the store may be
 * applied without an answer or applied later; any start may be carried out
 * without an answer or carried out later. Worker 1 may be cut off from
 * leader 1 for a while. docs/design/platform.md maps the steps to functions.
 *
 * Variants that must be found wrong:
 *   -DNO_RAISE    an unanswered start counts as not carried out
 *   -DACK_FIRST   an end is acknowledged before it is stored
 *   -DBLIND_MARK  a mark is written without the leader's condition
 *   -DNO_LAPSE    a worker that cannot be reached counts as empty at once
 */

#define ATTEMPTS 4
#define NONE 9

/* The store: the leader's row has a version, and all rows move with it. */
byte version = 1;
byte owner = 0;          /* who wrote the leader's row last */
byte epoch = 1;
byte marked = 0;         /* the newest attempt in the task's row */
byte marked_at = NONE;   /* its worker, or none */
bool done = false;

/* One write that the store may still apply, if its condition holds then. */
bool late_write = false;
byte late_version;
byte late_marked;
byte late_at;
bool late_done;
byte late_owner;

/* The workers. */
byte seen[2];            /* the highest token */
byte running[2];         /* the attempt that runs there, 0 for none */
bool listed[2];          /* an end as done is listed there */
byte ended[2];           /* the attempt that ended there */
bool noted = false;      /* that end was acknowledged */
bool lapsed[2];          /* its lease lapsed: nothing runs, none can renew */

/* One start that a worker may still carry out. */
bool late_start = false;
byte start_at;
byte start_attempt;
byte start_token;

bool cut = false;        /* leader 1 cannot reach worker 1 */
byte cuts = 0;
bool renews[2];          /* leader i may still renew leases */

#define TOKEN(e, raises) ((e) * 8 + (raises))
#define REACHES(i, w) (!(cut && (i) == 1 && (w) == 1))
#define MAY_RUN(w, a) (ended[w] < a && running[w] != a)
#define RUNS ((running[0] != 0) + (running[1] != 0))

#ifdef BLIND_MARK
#define CONDITION(v) (true)
#else
#define CONDITION(v) (version == v)
#endif

/* A worker carries out a start: it compares tokens and nothing else. */
inline carry_out(w, attempt, token) {
    if
    :: token >= seen[w] && MAY_RUN(w, attempt) ->
        seen[w] = token;
        assert(RUNS == 0);          /* never two runs at once */
        assert(!noted);             /* never again after a noted end */
        running[w] = attempt; lapsed[w] = false
    :: else -> skip
    fi
}

/* Write the task's row. The loop is the retry under the same condition;
 * a late copy of the same write may apply instead of the retry. */
inline store(me, my_version, new_marked, new_at, new_done, won) {
    won = false;
    do
    :: atomic {
        CONDITION(my_version) ->
        version++; owner = me;
        marked = new_marked; marked_at = new_at; done = new_done;
        my_version = version; won = true; break
       }
    :: atomic {                     /* no answer; it may apply later */
        CONDITION(my_version) && !late_write ->
        late_write = true; late_version = my_version; late_owner = me;
        late_marked = new_marked; late_at = new_at; late_done = new_done
       }
    :: atomic {                     /* refused: mine, or another's? */
        !(CONDITION(my_version)) ->
        if
        :: owner == me && version == my_version + 1 ->
            my_version = version; won = true
        :: else -> won = false
        fi;
        break
       }
    od
}

proctype Store() {
    do
    :: atomic {
        late_write && version == late_version ->
        version++; owner = late_owner; marked = late_marked;
        marked_at = late_at; done = late_done; late_write = false
       }
    :: atomic { late_write && version != late_version -> late_write = false }
    :: timeout -> break
    od
}

proctype Worker(byte w) {
    do
    :: atomic {                     /* the run ends as done */
        running[w] != 0 ->
        ended[w] = running[w]; running[w] = 0; listed[w] = true
       }
    :: atomic {                     /* a late start is carried out */
        late_start && start_at == w ->
        carry_out(w, start_attempt, start_token); late_start = false
       }
    :: atomic {                     /* nobody who renews reaches it */
        !lapsed[w] && w == 1 && cut && !renews[0] ->
        lapsed[w] = true; running[w] = 0;
        if                          /* a start is void past its deadline */
        :: late_start && start_at == w -> late_start = false
        :: else -> skip
        fi
       }
    :: timeout -> break
    od
}

proctype Cutter() {
    do
    :: atomic { cuts < 1 && !cut -> cut = true; cuts++ }
    :: atomic { cut -> cut = false; lapsed[1] = false }
    :: cuts == 1 && !cut -> break
    od
}

proctype Leader(byte me) {
    byte my_version;
    byte my_epoch;
    byte raises = 0;
    byte attempt;
    byte at;
    byte w;
    byte found;
    bool over;
    bool won;

    if
    :: me == 0 -> my_version = 1; my_epoch = 1
    :: me == 1 ->
        atomic {                    /* win the row as it is seen now */
            version++; owner = 1; epoch++;
            my_version = version; my_epoch = epoch
        }
        /* Leader 0 stops renewing some time after it cannot write. */
    fi;

again:
    if
    :: me == 0 && version != my_version -> goto out
    :: else -> skip
    fi;
    attempt = marked; at = marked_at; over = done;
    if
    :: version != my_version -> goto out
    :: over && (at == NONE) -> goto out
    :: else -> skip
    fi;
    if
    :: at == NONE -> goto start
    :: else -> skip
    fi;

look:                               /* raise the token and read */
    w = at;
    if
    :: atomic {
        REACHES(me, w) ->
        if
        :: TOKEN(my_epoch, raises) >= seen[w] ->
            seen[w] = TOKEN(my_epoch, raises)
        :: else -> goto out
        fi;
        if
        :: running[w] == attempt -> found = 1
        :: listed[w] && ended[w] == attempt -> found = 2
        :: else -> found = 0
        fi
       }
#ifdef NO_LAPSE
    :: atomic { !REACHES(me, w) -> found = 0 }
#else
    :: atomic { !REACHES(me, w) && lapsed[w] -> found = 0 }
#endif
    fi;
    if
    :: found == 1 -> goto look      /* it runs: renew and look again */
    :: found == 0 -> at = NONE; goto start
    :: found == 2 -> skip
    fi;

#ifdef ACK_FIRST
    atomic { listed[w] = false; noted = true }
#endif
    store(me, my_version, attempt, NONE, true, won);
    if
    :: !won -> goto out
    :: else -> skip
    fi;
#ifndef ACK_FIRST
    atomic {
        if
        :: REACHES(me, w) && TOKEN(my_epoch, raises) >= seen[w] ->
            assert(done);           /* stored before it is forgotten */
            listed[w] = false; noted = true
        :: else -> skip
        fi
    }
#endif
    goto out;

start:
    if
    :: attempt >= ATTEMPTS - 1 -> goto out
    :: else -> attempt++
    fi;
    if
    :: at = 0
    :: at = 1
    fi;
    if
    :: !REACHES(me, at) -> at = 0
    :: else -> skip
    fi;
    store(me, my_version, attempt, at, false, won);
    if
    :: !won -> goto out
    :: else -> skip
    fi;
    if
    :: atomic {                     /* carried out, answered or not */
        REACHES(me, at) ->
        carry_out(at, attempt, TOKEN(my_epoch, raises))
       }
    :: atomic {                     /* no answer; carried out later */
        !late_start ->
        late_start = true; start_at = at; start_attempt = attempt;
        start_token = TOKEN(my_epoch, raises);
        lapsed[at] = false          /* the order may begin a lease anew */
       };
#ifdef NO_RAISE
        at = NONE; goto start
#endif
    fi;
    raises++;                       /* settle what became of it */
    goto look;

out:
    renews[me] = false
}

init {
    atomic {
        renews[0] = true; renews[1] = true;
        run Store(); run Worker(0); run Worker(1); run Cutter();
        run Leader(0); run Leader(1)
    }
}
