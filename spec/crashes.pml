/*
 * The count of workers that one task has crashed.
 *
 * The task crashes each worker that starts it. Leader 0 leads first; it may
 * stop for ever between any two steps, and leader 1 may take over at any
 * moment, also while leader 0 still believes that it leads. Any write to the
 * store may be applied without an answer, or later; any start may be carried
 * out without an answer. Property: the task is started at most MOST times.
 * docs/design/platform.md maps the steps to functions.
 *
 * Variants that must be found wrong:
 *   -DREPORTS_ONLY  only ends that a worker reports are counted
 *   -DIN_MEMORY     the count is not stored
 *   -DMARK_LAST     a start is ordered before it is marked
 *   -DTWO_WRITES    the mark goes in one write, the count in the next
 *   -DUNANSWERED    a start without an answer counts as not carried out
 */

#define MOST 3

/* Three in place of five: the search is ten times shorter. */

/* Starts that one leader marks: enough to pass MOST, so that a search ends. */
#define ROUNDS 4

/* The store: the leader's row has a version, and all rows move with it. */
byte version = 1;
byte owner = 0;
byte losses = 0;
bool marked = false;
bool failed = false;

/* One write that the store may still apply, if its condition holds then. */
bool late_write = false;
byte late_version;
byte late_owner;
byte late_losses;
bool late_marked;
bool late_failed;

/* The worker that the newest mark names. */
byte seen = 0;          /* the highest epoch that it has seen */
bool crashed = false;   /* it has crashed under the task */

byte starts = 0;        /* starts that were carried out */

inline write_row(me, my_version, new_losses, new_marked, new_failed, won) {
    won = false;
    do
    :: atomic {
        version == my_version ->
        version++; owner = me;
        losses = new_losses; marked = new_marked; failed = new_failed;
        my_version = version; won = true; break
       }
    :: atomic {                     /* no answer; it may apply later */
        version == my_version && !late_write ->
        late_write = true; late_version = my_version; late_owner = me;
        late_losses = new_losses; late_marked = new_marked;
        late_failed = new_failed
       }
    :: atomic {                     /* refused: mine, or another's? */
        version != my_version ->
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
        version++; owner = late_owner; losses = late_losses;
        marked = late_marked; failed = late_failed; late_write = false
       }
    :: atomic { late_write && version != late_version -> late_write = false }
    :: timeout -> break
    od
}

/* A worker carries out a start unless it has seen a newer epoch, and crashes. */
inline carry_out(my_epoch) {
    if
    :: my_epoch >= seen && !crashed ->
        seen = my_epoch;
        starts++; assert(starts <= MOST);
        crashed = true
    :: else -> skip
    fi
}

proctype Leader(byte me) {
    byte my_version;
    byte my_losses;
    byte rounds = 0;
    bool known = false;     /* the start is known to be carried out */
    bool arrives;
    bool won;

    if
    :: me == 0 -> my_version = 1
    :: me == 1 ->
        atomic { version++; owner = 1; my_version = version }
    fi;
    atomic {
        my_losses = losses;
        if
        :: version != my_version -> goto out
        :: else -> skip
        fi
    }
#ifdef IN_MEMORY
    my_losses = 0;
#endif

again:
    if
    :: atomic { version == my_version && failed -> goto out }
    :: atomic { version == my_version && marked -> goto look }
    :: atomic { version == my_version && !marked && !failed -> skip }
    :: atomic { version != my_version -> goto out }
    fi;
    if
    :: rounds == ROUNDS -> goto out
    :: rounds < ROUNDS && my_losses >= MOST ->
        write_row(me, my_version, my_losses, false, true, won);
        goto out
    :: else -> rounds++
    fi;
#ifdef MARK_LAST
    atomic { seen = me; crashed = false };
    atomic { carry_out(me) };
    known = true;
#endif
    write_row(me, my_version, my_losses, true, false, won);
    if
    :: !won -> goto out
    :: else -> skip
    fi;
#ifndef MARK_LAST
    atomic {                        /* another worker, with its own past */
        if
        :: version == my_version -> seen = me; crashed = false
        :: else -> skip
        fi
    };
    if
    :: arrives = true; known = true     /* answered */
    :: arrives = true; known = false    /* carried out without an answer */
    :: arrives = false; known = false
    fi;
    atomic {
        if
        :: arrives -> carry_out(me)
        :: !arrives -> skip
        fi
    };
#endif

look:                               /* raise the token and read */
    atomic {
        if
        :: me >= seen -> seen = me
        :: else -> goto out
        fi
    };
    if
#ifdef REPORTS_ONLY
    :: skip
#else
#ifdef UNANSWERED
    :: crashed && known -> my_losses++
    :: !(crashed && known) -> skip
#else
    :: crashed -> my_losses++
    :: !crashed -> skip
#endif
#endif
    fi;
#ifdef TWO_WRITES
    write_row(me, my_version, losses, false, false, won);
    if
    :: !won -> goto out
    :: else -> skip
    fi;
    write_row(me, my_version, my_losses, false, false, won);
#else
    write_row(me, my_version, my_losses, false, false, won);
#endif
    if
    :: !won -> goto out
    :: starts > MOST -> goto out
    :: else -> goto again
    fi;
out:
    skip
}

init {
    atomic { run Store(); run Leader(0); run Leader(1) }
}
