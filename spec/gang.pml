/*
 * The core protocol: reserve, mark, start, lapse, pause, lost reply, takeover
 * and cancel, for one non-idempotent gang of two on two workers.
 *
 * Scheduler 0 leads first. It may be paused between any two steps (that is
 * interleaving) or crash; scheduler 1 may take over at any moment, also while
 * scheduler 0 still believes that it leads. One worker may be cut off from
 * scheduler 1 for a while. docs/design/state.md maps each step to the
 * function that does it.
 *
 * Variants that must be found wrong:
 *   -DNO_FENCING    workers do not compare epochs
 *   -DNO_READ_BACK  a lost reply of the mark counts as "not written"
 */

#define ACCEPTED 0
#define MARKED 1
#define FINISHED 2
#define CANCELLED 3
#define UNKNOWN 4

#define FREE 0
#define RESERVED 1
#define RUNNING 2
#define DONE 3
#define STOPPED 4

/* The table: the job's row and the leader's row. */
byte job = ACCEPTED;
byte marked = 0;       /* the attempt that the start mark names */
byte leader = 1;       /* the epoch in the leader's row */
bool acknowledged = false; /* a cancel was acknowledged */

/* The workers: the epoch seen, and the newest lease of the one slot. */
byte seen[2];
byte slot[2];
byte held_by[2];       /* the attempt that the lease is for */
byte renewer[2];       /* the scheduler whose polls renew it */
bool ran[2];           /* whether this lease's task ever started */
bool ran_ever[4];      /* by attempt: whether any member ever started */

bool polls[2];         /* scheduler i renews leases */
bool lapsed = false;   /* the first leader's lease lapsed while it lives */
bool cut = false;      /* worker 1 cannot be reached by scheduler 1 */

#ifdef NO_FENCING
#define FENCED(w, e) false
#else
#define FENCED(w, e) (e < seen[w])
#endif

#define HELD(w) (slot[w] == RESERVED || slot[w] == RUNNING)
#define OVER (job >= FINISHED)
#define LIVE(w) (slot[w] == RUNNING || slot[w] == DONE)

/* A part of the gang runs and the rest never will. */
#define PARTIAL ((slot[0] == RUNNING && !HELD(1) && slot[1] != DONE) \
              || (slot[1] == RUNNING && !HELD(0) && slot[0] != DONE))

inline start_member(w, attempt, epoch) {
    atomic {
        if
        :: FENCED(w, epoch) -> fenced = true
        :: !FENCED(w, epoch) && slot[w] == RESERVED && held_by[w] == attempt ->
            /* The promises of the brief. */
            assert(!acknowledged);
            assert(attempt == 1 || !ran_ever[1]);
            assert(attempt == 2 || !ran_ever[2]);
            slot[w] = RUNNING;
            ran[w] = true;
            ran_ever[attempt] = true
        :: else -> skip        /* a repeat, or a lease that has ended */
        fi
    }
}

inline reserve_member(w, attempt, epoch, me) {
    atomic {
        (FENCED(w, epoch) || !HELD(w));
        if
        :: FENCED(w, epoch) -> fenced = true
        :: else ->
            assert(!HELD(w));  /* no two holders of a slot */
            slot[w] = RESERVED;
            held_by[w] = attempt;
            renewer[w] = me;
            ran[w] = false
        fi
    }
}

inline release_member(w, attempt, epoch) {
    atomic {
        if
        :: FENCED(w, epoch) -> skip
        :: !FENCED(w, epoch) && held_by[w] == attempt && slot[w] != FREE ->
            slot[w] = STOPPED
        :: else -> skip
        fi
    }
}

proctype Worker(byte w) {
    do
    /* A member of a gang ends only together with its peer. */
    :: atomic {
        slot[w] == RUNNING && held_by[0] == held_by[1] && LIVE(1 - w) ->
        slot[w] = DONE
       }
    /* Nobody renews the lease: it lapses and the task stops. */
    :: atomic { HELD(w) && !polls[renewer[w]] -> slot[w] = STOPPED }
    od
}

/* The polls of scheduler 0: being fenced by any worker ends its renewals. */
proctype Polls() {
    do
    :: atomic {
        polls[0] && (FENCED(0, 1) || FENCED(1, 1)) -> polls[0] = false
       }
    od
}

proctype Network() {
    if
    :: lapsed = true
    :: skip
    fi;
    do
    :: atomic { cut -> cut = false }
    od
}

proctype Caller() {
    if
    :: atomic {
        job == ACCEPTED -> job = CANCELLED; acknowledged = true
       }
    :: skip
    fi
}

/* The first leader, epoch 1, attempt 1; it may crash wherever it stands. */
proctype First() {
    bool fenced = false;
    bool lost = false;

    reserve_member(0, 1, 1, 0);
    if :: polls[0] = false; goto dead :: skip fi;
    reserve_member(1, 1, 1, 0);
    if :: polls[0] = false; goto dead :: skip fi;
    if :: fenced -> goto give_back :: else -> skip fi;

    /* The mark is one transaction over the job's and the leader's row. */
    atomic {
        if
        :: job == ACCEPTED && leader == 1 ->
            job = MARKED; marked = 1;
            if :: lost = false :: lost = true fi
        :: else -> goto give_back
        fi
    };
    if
    :: lost ->
#ifdef NO_READ_BACK
        goto give_back
#else
        /* Read back: the row names this attempt, so it was written. */
        if
        :: job == MARKED && marked == 1 -> skip
        :: else -> goto give_back
        fi
#endif
    :: else -> skip
    fi;
    if :: polls[0] = false; goto dead :: skip fi;

    /* Start calls go out together: either may arrive first. */
    if
    :: true -> start_member(0, 1, 1);
       if :: polls[0] = false; goto dead :: skip fi;
       start_member(1, 1, 1)
    :: true -> start_member(1, 1, 1);
       if :: polls[0] = false; goto dead :: skip fi;
       start_member(0, 1, 1)
    fi;
    if :: fenced -> polls[0] = false; goto dead :: else -> skip fi;

    do
    :: atomic {
        (held_by[0] == 1 && held_by[1] == 1 && slot[0] == DONE && slot[1] == DONE && job == MARKED && marked == 1 && leader == 1) ->
        job = FINISHED; break
       }
    :: leader != 1 -> break
    :: polls[0] = false; goto dead
    od;
    goto dead;

give_back:
    release_member(0, 1, 1);
    release_member(1, 1, 1);
dead:
    skip
}

/* Takes over at any moment; epoch 2, new attempts are number 2. */
proctype Second() {
    bool fenced = false;
    bool started = false;
    bool missing = false;
    byte answer[2];

    /* A standby takes over only once the heartbeat stays away: the first
       leader has crashed, or it is paused or cut off from the table. */
    (!polls[0] || lapsed);
    leader = 2;
    polls[1] = true;
    if :: cut = true :: skip fi;

    /* Ask and fence in one call; an orphan reservation is released. */
    atomic { seen[0] = 2; answer[0] = slot[0]; started = started || ran[0] };
    if
    :: atomic {
        !cut -> seen[1] = 2; answer[1] = slot[1]; started = started || ran[1]
       }
    :: atomic { cut -> answer[1] = FREE; started = true }
    fi;

    if
    :: atomic { job == ACCEPTED -> skip }; goto fresh
    :: atomic { job == MARKED -> skip }; goto adopt
    :: OVER -> goto end_second
    fi;

adopt:
    missing = (answer[0] == FREE || answer[0] == STOPPED || held_by[0] != 1 || answer[1] == FREE || answer[1] == STOPPED || held_by[1] != 1);
    if
    :: !missing ->
        atomic { renewer[0] = 1; renewer[1] = 1 };
        start_member(0, 1, 2);
        start_member(1, 1, 2);
        goto wait_first
    :: else -> skip
    fi;

stop_all:
    release_member(0, 1, 2);
    if
    :: atomic { !cut -> seen[1] = 2 }; release_member(1, 1, 2)
    :: cut -> skip
    fi;
    /* Decided by what the fenced workers answered. */
    if
    :: started -> job = UNKNOWN; goto end_second
    :: else -> atomic { job = ACCEPTED; marked = 0 }; goto fresh
    fi;

wait_first:
    if
    :: atomic {
        slot[0] == DONE && slot[1] == DONE && job == MARKED -> job = FINISHED
       }; goto end_second
    :: atomic {
        (slot[0] == STOPPED || slot[1] == STOPPED) -> started = true
       }; goto stop_all
    fi;

fresh:
    atomic { !cut -> seen[1] = 2 };
    release_member(0, 1, 2);
    release_member(1, 1, 2);
    reserve_member(0, 2, 2, 1);
    reserve_member(1, 2, 2, 1);
    atomic {
        if
        :: job == ACCEPTED -> job = MARKED; marked = 2
        :: else -> goto end_second
        fi
    };
    start_member(0, 2, 2);
    start_member(1, 2, 2);
    atomic { slot[0] == DONE && slot[1] == DONE -> job = FINISHED };

end_second:
    skip
}

init {
    atomic {
        polls[0] = true;
        seen[0] = 1;
        seen[1] = 1;
        run Worker(0);
        run Worker(1);
        run Polls();
        run Network();
        run Caller();
        run First();
        run Second()
    }
}

/* An accepted job ends, and a partial gang does not stay. */
ltl job_ends { <> OVER }
ltl no_partial { [] (PARTIAL -> <> !PARTIAL) }
