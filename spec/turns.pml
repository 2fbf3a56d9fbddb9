/*
 * Quorums of the disks that hold turns and ledgers, see docs/design/platform.md.
 *
 * One record is written by a writer that may know an old view, while disks are lost one at a time,
 * replaced, left out and taken back. Whatever is proposed when, a reader with any view must not be
 * told by enough disks that the record does not exist, once it counts.
 */

#define TOLERANCE 1
#define HOSTS 4
#define DISKS 8 /* disk h + HOSTS is what host h comes back with after it has lost disk h */

#ifndef VIEWS
#define VIEWS 3
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

#define BIT(d) (1 << (d))
#define HAS(set, d) (((set) >> (d)) & 1)
#define COUNT(s) (HAS(s, 0) + HAS(s, 1) + HAS(s, 2) + HAS(s, 3) + HAS(s, 4) + HAS(s, 5) + HAS(s, 6) + HAS(s, 7))
#define HOST_OF(d) ((d) % HOSTS)
#define HOSTS_OF(set) (((set) | ((set) >> HOSTS)) & 15)

#define QUORUM(n) ((n) < TOLERANCE + 1 -> (n) : TOLERANCE + 1)
#define WRITE_QUORUM(set) QUORUM(COUNT(set))
#define COVER_OF(set) (COUNT(set) - WRITE_QUORUM(set) + 1)

#ifdef NO_BOTH_VIEWS
#define IS_WRITTEN(v, s) (COUNT((s) & members[v]) >= WRITE_QUORUM(members[v]))
#else
#define IS_WRITTEN(v, s) (COUNT((s) & members[v]) >= WRITE_QUORUM(members[v]) && \
    (incoming[v] == 0 || COUNT((s) & incoming[v]) >= WRITE_QUORUM(incoming[v])))
#endif

#define READS(set, s) (COUNT((s) & (set)) >= COVER_OF(set) && COUNT((s) & (set)) >= WRITE_QUORUM(set))

#ifdef NO_READ_OF_BOTH
#define IS_READ(v, s) READS(members[v], s)
#else
#define IS_READ(v, s) (READS(members[v], s) && (incoming[v] == 0 || READS(incoming[v], s)))
#endif

#define MUST_SYNC (COUNT(incoming[now]) < COUNT(members[now]) -> incoming[now] : incoming[now] & ~members[now])

byte alive = 15;
byte held = 0;          /* disks that hold the record */
byte known[DISKS];      /* newest view that a disk has learned; it refuses older writers and readers */
byte members[VIEWS];
byte incoming[VIEWS];
byte now = 0;           /* view in force */
byte synced = 0;        /* incoming disks that hold everything */
byte answered[DISKS];   /* members that have told a disk what they hold */
byte writer_view = 0;
byte written = 0;       /* disks that have answered the writer */
bool counted = false;
byte losses = 0;
byte d, e, v;
byte without;

inline adopt(next_members, next_incoming) {
    now++;
    members[now] = next_members;
    incoming[now] = next_incoming;
    synced = 0;
    for (e : 0 .. DISKS - 1) {
        answered[e] = 0
    }
}

inline check_readers() {
    for (v : 0 .. now) {
        without = 0;
        for (e : 0 .. DISKS - 1) {
            if
            :: HAS(members[v] & alive, e) && !HAS(held, e) && known[e] <= v -> without = without | BIT(e)
#ifdef NO_FOLDER
            :: e < HOSTS && HAS(members[v], e) && !HAS(alive, e) && HAS(alive, e + HOSTS) &&
                !HAS(held, e + HOSTS) && known[e + HOSTS] <= v -> without = without | BIT(e)
#endif
            :: else
            fi
        }
        assert(!counted || !IS_READ(v, without)); /* what counts is read */
    }
    v = 0;
    e = 0;
    without = 0
}

active proctype deployment() {
    members[0] = 7;
    do
    :: atomic { /* a writer begins, or begins again, with a view that it knows */
        !counted;
        select(v : 0 .. now);
        writer_view = v;
        written = 0;
        v = 0
      }
    :: atomic { /* a disk syncs the record */
        !counted;
        select(d : 0 .. DISKS - 1);
        if
        :: HAS((members[writer_view] | incoming[writer_view]) & alive, d) && known[d] <= writer_view ->
            held = held | BIT(d);
            written = written | BIT(d);
            counted = IS_WRITTEN(writer_view, written)
        :: else
        fi;
        d = 0;
        check_readers()
      }
    :: atomic { /* a disk is lost, while all others are there and have caught up */
        losses < LOSSES && ((members[now] | incoming[now]) & ~alive) == 0 && COUNT(members[now]) > 1 &&
        (incoming[now] == 0 || COUNT(incoming[now]) > 1);
        select(d : 0 .. HOSTS - 1);
        if
        :: HAS(alive, d) ->
            alive = (alive & ~BIT(d)) | BIT(d + HOSTS);
            held = held & ~BIT(d);
            losses++
        :: else
        fi;
        d = 0;
        check_readers()
      }
    :: atomic { /* a member gives way to another disk, or to none */
        incoming[now] == 0 && now < VIEWS - 1;
        select(d : 0 .. DISKS - 1);
        select(e : 0 .. DISKS);
        if
        :: HAS(members[now], d) && e == DISKS && COUNT(members[now]) > 1 ->
            adopt(members[now - 1], members[now - 1] & ~BIT(d))
        :: HAS(members[now], d) && e < DISKS && HAS(alive, e) &&
            !HAS(HOSTS_OF(members[now] & ~BIT(d)), HOST_OF(e)) && !HAS(members[now], e) ->
            v = e;
            adopt(members[now - 1], (members[now - 1] & ~BIT(d)) | BIT(v));
            v = 0
        :: else
        fi;
        d = 0;
        e = 0
      }
    :: atomic { /* a disk is added where there are too few */
        incoming[now] == 0 && now < VIEWS - 1 && COUNT(members[now]) < 2 * TOLERANCE + 1;
        select(d : 0 .. DISKS - 1);
        if
        :: HAS(alive, d) && !HAS(HOSTS_OF(members[now]), HOST_OF(d)) ->
            adopt(members[now - 1], members[now - 1] | BIT(d))
        :: else
        fi;
        d = 0;
        e = 0
      }
    :: atomic { /* a member tells a disk what it holds */
        incoming[now] != 0;
        select(d : 0 .. DISKS - 1);
        select(e : 0 .. DISKS - 1);
        if
        :: HAS(MUST_SYNC & alive & ~synced, d) && HAS(members[now] & alive, e) ->
#ifndef NO_FENCE
            known[e] = now;
#endif
            answered[d] = answered[d] | BIT(e);
            if
            :: HAS(held, e) -> held = held | BIT(d)
            :: else
            fi;
            if
            :: COUNT(answered[d]) >= COVER_OF(members[now]) -> synced = synced | BIT(d)
            :: else
            fi
        :: else
        fi;
        d = 0;
        e = 0;
        check_readers()
      }
    :: atomic { /* the change ends, or is undone */
        incoming[now] != 0 && now < VIEWS - 1;
        if
        :: (MUST_SYNC & ~synced) == 0 -> adopt(incoming[now - 1], 0)
        :: adopt(members[now - 1], 0)
        fi;
        e = 0;
        check_readers()
      }
    :: atomic { /* witnesses show that the search gets there */
        counted && now == VIEWS - 1 && losses == LOSSES && incoming[now] == 0;
#ifdef SEE_SUCCESSOR
        assert((members[now] >> HOSTS) == 0); /* witness */
#endif
        break
      }
    od
}
