---- MODULE Tokens ----
\* Rate tokens of one team in one group, moved from the coordinator to entries. Replies and reports
\* may be late, repeated or lost. The debt of a leaky bucket exceeds Burst exactly if some window
\* [s, e] has more than Burst + Rate * (e - s) spent tokens.
EXTENDS Integers, FiniteSets

CONSTANTS Burst, Rate, Ttl, MaxTime, CountOutstanding, WaitForTokens, KeyedReports

VARIABLES now, level, grants, count, leaseEnd, debt

vars == <<now, level, grants, count, leaseEnd, debt>>

MaxGrants == 3
Ids == 1..MaxGrants
Min(a, b) == IF a < b THEN a ELSE b
Max(a, b) == IF a > b THEN a ELSE b
NoGrant == [size |-> 0, until |-> 0, spent |-> 0, returned |-> 0, known |-> 0,
            given |-> 0, listed |-> FALSE]

\* What the coordinator counts as still spendable of one grant, and of all.
Open(g, t) == IF g.listed /\ t < g.until THEN g.size - g.known ELSE 0
Sum(f, t) == Open(f[1], t) + Open(f[2], t) + Open(f[3], t)
Room(f, t) == IF CountOutstanding THEN Max(0, Burst - Sum(f, t)) ELSE Burst

Init ==
    /\ now = 0
    /\ level = Burst
    /\ grants = [i \in Ids |-> NoGrant]
    /\ count = 0
    /\ leaseEnd = Ttl
    /\ debt = 0

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ level' = Min(Room(grants, now + 1), level + Rate)
    /\ debt' = Max(0, debt - Rate)
    /\ UNCHANGED <<grants, count, leaseEnd>>

Renew ==
    /\ now < leaseEnd
    /\ leaseEnd < now + Ttl
    /\ leaseEnd' = now + Ttl
    /\ UNCHANGED <<now, level, grants, count, debt>>

Grant(k) ==
    /\ count < MaxGrants
    /\ now < leaseEnd
    /\ k <= level
    /\ count' = count + 1
    /\ level' = level - k
    /\ grants' = [grants EXCEPT ![count + 1] = [NoGrant EXCEPT !.size = k,
         !.until = Min(now + Ttl, leaseEnd), !.listed = TRUE]]
    /\ UNCHANGED <<now, leaseEnd, debt>>

CanUse(g) == now < g.until /\ g.spent + g.returned < g.size

Spend(i) ==
    /\ CanUse(grants[i])
    /\ grants' = [grants EXCEPT ![i].spent = @ + 1]
    /\ debt' = debt + 1
    /\ UNCHANGED <<now, level, count, leaseEnd>>

Return(i) ==
    /\ CanUse(grants[i])
    /\ grants' = [grants EXCEPT ![i].returned = grants[i].size - grants[i].spent]
    /\ UNCHANGED <<now, level, count, leaseEnd, debt>>

\* A report on grant i is taken by the coordinator as a report on grant j; j differs from i only in
\* the broken variant, whose reports do not name their grant.
Report(i, j) ==
    /\ KeyedReports => i = j
    /\ grants[j].listed
    /\ now < grants[j].until
    /\ grants[i].spent + grants[i].returned > grants[j].known
    /\ grants[i].spent + grants[i].returned <= grants[j].size
    /\ LET next == [grants EXCEPT ![j].known = grants[i].spent + grants[i].returned,
                                  ![j].given = grants[i].returned]
       IN /\ grants' = next
          /\ level' = Min(Room(next, now), level + Max(0, grants[i].returned - grants[j].given))
    /\ UNCHANGED <<now, count, leaseEnd, debt>>

\* The next coordinator starts with nothing after the lease, or after a resignation that waited until
\* no token was valid.
Change ==
    /\ \/ now >= leaseEnd
       \/ ~WaitForTokens
       \/ Sum(grants, now) = 0
    /\ level' = 0
    /\ leaseEnd' = now + Ttl
    /\ grants' = [i \in Ids |-> [grants[i] EXCEPT !.listed = FALSE]]
    /\ UNCHANGED <<now, count, debt>>

Done == now = MaxTime /\ UNCHANGED vars

Next ==
    \/ Tick
    \/ Renew
    \/ Change
    \/ Done
    \/ \E k \in 1..Burst : Grant(k)
    \/ \E i \in Ids : Spend(i) \/ Return(i)
    \/ \E i, j \in Ids : Report(i, j)

InvWithinLimit == debt <= Burst
====
