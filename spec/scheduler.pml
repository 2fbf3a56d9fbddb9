/*
 * Ownership, journal, claims and answers of one partition.
 *
 * A process that is never scheduled again is a process that died, and one that is scheduled late is
 * one that was paused, so neither needs an action of its own. Dispatches, revokes and replies are
 * kept in sets that only grow: a message can be handled late, repeatedly, in any order or never.
 * Each NO_* define removes one guard; each SEE_* define claims that an outcome is unreachable, and
 * must be refuted. LATE, DISK, ONE_CALL, TWO_ATTEMPTS and OWNERS choose what one search covers.
 */

#ifndef OWNERS
#define OWNERS 3
#endif
#define COPIES 3
#define SLOTS 2
#define INCARNATIONS 2

/*
 * With two attempts, slot 1 is a second attempt at the call of slot 0. Otherwise the slots are calls
 * of a program and its sub-agent, which draw on one budget that covers a single call.
 */
#ifdef TWO_ATTEMPTS
#define CALL(slot) 0
#define RAN_FIRST_CALL (executed[0] || executed[1])
#else
#define CALL(slot) (slot)
#define RAN_FIRST_CALL (executed[0] > 0)
#endif

#define ANSWERED 1
#define NOT_RUN 2
#define UNKNOWN 3

/* A log is the set of its records: for each slot one claim and one end. */
#define CLAIM(slot, inc) (((inc) + 1) << (4 * (slot)))
#define CLAIM_MASK(slot) (3 << (4 * (slot)))
#define END(slot, outcome) ((outcome) << (4 * (slot) + 2))
#define END_MASK(slot) (12 << (4 * (slot)))
#define CLAIMED(log, slot) ((log) & CLAIM_MASK(slot))
#define CLAIMED_BY(log, slot) ((CLAIMED(log, slot) >> (4 * (slot))) - 1)
#define OUTCOME(log, slot) (((log) & END_MASK(slot)) >> (4 * (slot) + 2))
#define OPEN(log, slot) (CLAIMED(log, slot) && !OUTCOME(log, slot))
#define KEEPS(mask, part, whole) (!((part) & (mask)) || ((part) & (mask)) == ((whole) & (mask)))
#define HOLDS(part, whole) \
    (KEEPS(CLAIM_MASK(0), part, whole) && KEEPS(END_MASK(0), part, whole) && \
     KEEPS(CLAIM_MASK(1), part, whole) && KEEPS(END_MASK(1), part, whole))

#define BIT(slot, inc) (1 << ((slot) * INCARNATIONS + (inc)))
#define SLOT_BITS(slot) (BIT(slot, 0) | BIT(slot, 1))

/* Tokens held by a slot: reserved with its claim, kept unless the call is known not to have run. */
#ifdef NO_RESERVATION
#define CHARGED(log, slot) (OUTCOME(log, slot) == ANSWERED || OUTCOME(log, slot) == UNKNOWN)
#else
#define CHARGED(log, slot) (CLAIMED(log, slot) && OUTCOME(log, slot) != NOT_RUN)
#endif

#ifdef TWO_ATTEMPTS
#define MAY_CLAIM(log, slot) \
    (!CLAIMED(log, slot) && (slot == 0 || OUTCOME(log, 0) == NOT_RUN))
#else
#define MAY_CLAIM(log, slot) (!CLAIMED(log, slot) && !CHARGED(log, 1 - (slot)))
#endif

/* The partition's entry in the key-value service. A copy set is named by the copy left out of it. */
byte started = 0;
byte table_epoch = 0;
byte table_owner = OWNERS;
byte table_spare = 2;
#define FIRST(spare) ((spare) == 0 -> 1 : 0)
#define SECOND(spare) ((spare) == 2 -> 1 : 2)

/* Journal copies. A replaced disk is empty and its id is not the one in the table. */
byte sealed[COPIES];
byte stored[COPIES];
bool replaced[COPIES];
bool any_replaced = false;

/* One append or copy that is delivered a second time, later. */
bool late_waiting = false;
bool late_is_copy;
byte late_copy;
byte late_epoch;
byte late_before;
byte late_after;

/* Messages between owners and the executor. */
byte dispatched = 0;
byte revoking = 0;
byte answered = 0;
byte revoked = 0;
byte refused = 0;
byte current = 0;

/* What has happened, for the properties. */
byte executed[SLOTS];
byte acknowledged = 0;
byte acknowledged_epoch = 0;
byte final_answer[SLOTS];
bool told_not_run[SLOTS];

#ifdef NO_EPOCH_CHECK
#define ADMITS(copy, epoch) true
#else
#define ADMITS(copy, epoch) ((epoch) >= sealed[copy])
#endif
#ifdef NO_DISK_ID
#define TRUSTED(copy) true
#else
#define TRUSTED(copy) (!replaced[copy])
#endif
#ifdef NO_COPY_ONCE
#define MAY_COPY(copy, epoch) ADMITS(copy, epoch)
#else
#define MAY_COPY(copy, epoch) ((epoch) > sealed[copy])
#endif

inline deliver_late_again(is_copy, copy, epoch, before, after) {
    if
#ifdef LATE
    :: !late_waiting && !late_copy ->
        late_waiting = true;
        late_is_copy = is_copy;
        late_copy = copy + 1;
        late_epoch = epoch;
        late_before = before;
        late_after = after
#endif
    :: true
    fi
}

/* Moves the partition to this owner at the next epoch. */
inline compare_and_swap_owner() {
    atomic {
        started == me; /* owners are alike, so one order of their starts stands for all */
        started++;
        epoch = table_epoch + 1;
        spare = table_spare
    }
    atomic {
        if
#ifdef NO_COMPARE
        :: true ->
#else
        :: table_epoch == epoch - 1 && table_spare == spare ->
#endif
            table_epoch = epoch;
            table_owner = me;
            lost = false
        :: table_epoch == epoch - 1 && table_spare == spare ->
            table_epoch = epoch;
            table_owner = me;
            lost = true
        :: lost = true
        :: !(table_epoch == epoch - 1 && table_spare == spare) -> goto stopped
        fi
    }
#ifndef NO_READ_BACK
    atomic {
        if
        :: lost && !(table_epoch == epoch && table_owner == me) -> goto stopped
        :: else
        fi;
        lost = false
    }
#endif
}

/* Reads a copy of the set that the table names, sealed so that no lower epoch can change it. */
inline seal_copy() {
    atomic {
        if
        :: copy = FIRST(spare)
        :: copy = SECOND(spare)
        fi;
        TRUSTED(copy);
        if
        :: ADMITS(copy, epoch) ->
#ifndef NO_SEAL
            sealed[copy] = epoch;
#endif
            view = stored[copy]
        :: else -> goto stopped
        fi
    }
}

/* Makes the other copy equal to the one that was read. */
inline copy_log(target) {
    atomic {
        if
        :: MAY_COPY(target, epoch) ->
            sealed[target] = epoch;
            stored[target] = view;
            deliver_late_again(true, target, epoch, view, view)
        :: else -> goto stopped
        fi
    }
}

/* Puts the spare in place of one copy: first filled, then named by the table, then used. */
inline replace_copy(target) {
    copy_log(spare);
#ifdef NO_TABLE_CHANGE
    spare = target;
#else
    atomic {
        if
        :: table_epoch == epoch && table_owner == me && table_spare == spare -> table_spare = target
        :: true
        fi
    }
    atomic {
        if
        :: table_epoch == epoch && table_owner == me && table_spare == target -> spare = target
        :: else -> goto stopped
        fi
    }
#endif
    may_replace = false
}

inline append_to(copy_in_set, done) {
    atomic {
        copy = copy_in_set;
        if
        :: !replaced[copy] && ADMITS(copy, epoch) && (stored[copy] == view || stored[copy] == next) ->
            stored[copy] = next;
            done = true;
            deliver_late_again(false, copy, epoch, view, next)
        :: !replaced[copy] && !ADMITS(copy, epoch) -> goto stopped
#ifdef DISK
        :: may_replace -> replacing = true
#endif
        fi
    }
    if
    :: replacing ->
        replacing = false;
        replace_copy(copy);
        on_first = false;
        on_second = false
    :: else
    fi
}

/* Stores view + next at every copy of the set. */
inline append() {
    do
    :: !on_first -> append_to(FIRST(spare), on_first)
    :: !on_second -> append_to(SECOND(spare), on_second)
#ifdef NO_WRITE_ALL
    :: on_first || on_second -> break
#else
    :: on_first && on_second -> break
#endif
    od;
    atomic {
        on_first = false;
        on_second = false;
        copy = 0;
        assert(HOLDS(acknowledged, next) || HOLDS(next, acknowledged)); /* record kept */
        if
        :: HOLDS(acknowledged, next) ->
            acknowledged = next;
            acknowledged_epoch = epoch
        :: else
        fi;
        view = next
    }
}

/* Checks with every copy that no higher epoch has been opened. */
inline confirm() {
#ifdef NO_CONFIRM
    skip
#else
    atomic {
        if
        :: !replaced[FIRST(spare)] && epoch >= sealed[FIRST(spare)]
        :: else -> goto stopped
        fi
    }
    atomic {
        if
        :: !replaced[SECOND(spare)] && epoch >= sealed[SECOND(spare)]
        :: else -> goto stopped
        fi
    }
#endif
}

/* What a witness search must reach. */
#if defined(SEE_ANSWERED)
#define WITNESS(slot, outcome) ((outcome) == ANSWERED && epoch > 1)
#elif defined(SEE_UNKNOWN)
#define WITNESS(slot, outcome) ((outcome) == UNKNOWN && executed[slot])
#elif defined(SEE_NOT_RUN)
#define WITNESS(slot, outcome) ((outcome) == NOT_RUN)
#elif defined(SEE_SECOND_ATTEMPT)
#define WITNESS(slot, outcome) ((slot) == 1 && (outcome) == ANSWERED)
#elif defined(SEE_SPARE_USED)
#define WITNESS(slot, outcome) (spare == 1 && (outcome) == ANSWERED && epoch > 1)
#else
#define WITNESS(slot, outcome) false
#endif
#ifdef SEE_REFUSED
#define REFUSAL_WITNESS true
#else
#define REFUSAL_WITNESS false
#endif

inline tell(to_slot, outcome) {
    assert(!(WITNESS(to_slot, outcome))); /* witness */
    if
    :: outcome == NOT_RUN ->
        assert(!executed[to_slot]); /* not run is true */
        told_not_run[to_slot] = true
    :: else ->
        assert(!final_answer[CALL(to_slot)] || final_answer[CALL(to_slot)] == outcome); /* answer kept */
        final_answer[CALL(to_slot)] = outcome
    fi
}

proctype Owner(byte me) {
    byte epoch, spare, copy, view, next, slot, inc;
    bool lost, replacing, on_first, on_second, had_run;
    bool may_replace = true;

    compare_and_swap_owner();
    seal_copy();
    if
    :: copy == FIRST(spare) -> slot = SECOND(spare)
    :: else -> slot = FIRST(spare)
    fi;
    if
    :: !replaced[slot] -> copy_log(slot)
#ifdef DISK
    :: replace_copy(slot)
#endif
    fi;
    slot = 0;
    copy = 0;
    assert(acknowledged_epoch > epoch || HOLDS(acknowledged, view)); /* record kept */

serve:
    do
    :: atomic { MAY_CLAIM(view, 0) -> slot = 0; goto claim }
#ifndef ONE_CALL
    :: atomic { MAY_CLAIM(view, 1) -> slot = 1; goto claim }
#endif
    :: atomic { OPEN(view, 0) -> slot = 0; goto settle }
    :: atomic { OPEN(view, 1) -> slot = 1; goto settle }
    :: atomic { OUTCOME(view, 0) -> tell(0, OUTCOME(view, 0)) }
    :: atomic { OUTCOME(view, 1) -> tell(1, OUTCOME(view, 1)) }
    :: atomic {
        !CLAIMED(view, 0) -> had_run = RAN_FIRST_CALL
       };
       confirm();
       atomic {
        assert(!REFUSAL_WITNESS); /* witness */
        assert(!had_run); /* not run is true */
        had_run = false
       }
    :: goto stopped

claim:
        atomic {
            if
            :: inc = 0
            :: inc = current
            fi;
            next = view | CLAIM(slot, inc)
        }
#ifdef NO_CLAIM_FIRST
        dispatched = dispatched | BIT(slot, inc);
        append()
#else
        append();
        dispatched = dispatched | BIT(slot, inc)
#endif
        ;
        atomic { slot = 0; inc = 0; goto serve }

settle:
        atomic {
            inc = CLAIMED_BY(view, slot);
            if
            :: answered & BIT(slot, inc) ->
                next = view | END(slot, ANSWERED);
#ifdef NO_END_FIRST
                tell(slot, ANSWERED)
#endif
            :: !(revoking & BIT(slot, inc)) ->
                revoking = revoking | BIT(slot, inc);
                next = view
            :: revoked & BIT(slot, inc) -> next = view | END(slot, NOT_RUN)
#ifdef NO_REVOKE
            :: next = view | END(slot, NOT_RUN)
#endif
#ifdef NO_REFUSAL_CHECK
            :: refused & BIT(slot, inc) -> next = view | END(slot, NOT_RUN)
#endif
            :: next = view | END(slot, UNKNOWN)
            fi
        }
        if
        :: next != view -> append()
        :: else
        fi;
        atomic { slot = 0; inc = 0 }
    od;

stopped:
    skip
}

#define ABSENT 0
#define RUNNING 1
#define DONE 2
#define REVOKED 3

inline execute(slot) {
    state[slot] = RUNNING;
    assert(!told_not_run[slot]); /* not run is true */
    executed[slot]++;
#ifdef TWO_ATTEMPTS
    assert(executed[0] + executed[1] <= 1) /* at most once */
#else
    assert(executed[slot] <= 1); /* at most once */
    assert(executed[0] + executed[1] <= 1) /* budget kept */
#endif
}

#ifdef NO_DEDUP
#define FRESH(slot) (state[slot] == ABSENT || state[slot] == DONE)
#else
#define FRESH(slot) (state[slot] == ABSENT)
#endif
#ifdef NO_INCARNATION_CHECK
#define MEANT_FOR_ME(messages, slot) ((messages) & SLOT_BITS(slot))
#else
#define MEANT_FOR_ME(messages, slot) ((messages) & BIT(slot, current))
#endif

inline handle(slot) {
    if
    :: MEANT_FOR_ME(dispatched, slot) && FRESH(slot) -> execute(slot)
#ifdef NO_REFUSAL_CHECK
    :: current == 1 && (dispatched & BIT(slot, 0)) -> refused = refused | BIT(slot, 0)
#endif
    :: state[slot] == RUNNING -> state[slot] = DONE; answered = answered | BIT(slot, current)
    :: (revoking & BIT(slot, current)) && state[slot] == ABSENT ->
#ifndef NO_REVOKE_MEMORY
        state[slot] = REVOKED;
#endif
        revoked = revoked | BIT(slot, current)
    fi
}

proctype Executor() {
    byte state[SLOTS];
    do
    :: atomic { handle(0) }
    :: atomic { handle(1) }
    :: atomic { current == 0 -> current = 1; state[0] = ABSENT; state[1] = ABSENT }
    od
}

/* Replaces one disk by an empty one, and delivers one old message a second time. */
proctype Faults() {
    do
    :: atomic {
#ifdef DISK
        !any_replaced ->
        any_replaced = true;
        if
        :: replaced[0] = true; sealed[0] = 0; stored[0] = 0
        :: replaced[1] = true; sealed[1] = 0; stored[1] = 0
        fi
#else
        false
#endif
       }
    :: atomic {
        late_waiting ->
        late_waiting = false;
        if
        :: late_is_copy && MAY_COPY(late_copy - 1, late_epoch) ->
            sealed[late_copy - 1] = late_epoch;
            stored[late_copy - 1] = late_after
        :: !late_is_copy && ADMITS(late_copy - 1, late_epoch) &&
           stored[late_copy - 1] == late_before ->
            stored[late_copy - 1] = late_after
        :: else
        fi;
        late_epoch = 0;
        late_before = 0;
        late_after = 0;
        late_is_copy = false
       }
    od
}

init {
    byte owner = 0;
    atomic {
        do
        :: owner < OWNERS -> run Owner(owner); owner++
        :: else -> break
        od;
        run Executor();
        run Faults()
    }
}
