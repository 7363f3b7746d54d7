---- MODULE Election ----
\* Election of a coordinator by counting votes. A slot is a place for one VM: a restart replaces the
\* VM by one with empty memory, so that never more than |Slots| exist at one instant. Requests may be
\* delivered any number of times, at any later time, or never; candidates may stop for any time.
EXTENDS Integers, FiniteSets

CONSTANTS Slots, Candidates, Ttl, Lease, MaxTime, MaxAsks, MaxRounds, MaxRestarts, Abstain

VARIABLES now, up, promise, round, votes, lease, back, restarts

vars == <<now, up, promise, round, votes, lease, back, restarts>>

NoPromise == [to |-> "nobody", until |-> 0, round |-> 0]
Quorum == (Cardinality(Slots) \div 2) + 1
Max(a, b) == IF a > b THEN a ELSE b

Init ==
    /\ now = Ttl
    /\ up = [s \in Slots |-> 0]
    /\ promise = [s \in Slots |-> NoPromise]
    /\ round = [c \in Candidates |-> [number |-> 0, sent |-> 0]]
    /\ votes = [c \in Candidates |-> {}]
    /\ lease = [c \in Candidates |-> 0]
    /\ back = {}
    /\ restarts = 0

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<up, promise, round, votes, lease, back, restarts>>

Ask(c) ==
    /\ round[c].number < MaxAsks
    /\ round' = [round EXCEPT ![c] = [number |-> round[c].number + 1, sent |-> now]]
    /\ votes' = [votes EXCEPT ![c] = {}]
    /\ UNCHANGED <<now, up, promise, lease, back, restarts>>

\* A voter is counted by its incarnation, so a VM and its replacement could be two voters.
Vote(s, c, n) ==
    /\ n <= round[c].number
    /\ <<c, n>> \notin back
    /\ ~Abstain \/ now >= up[s] + Ttl
    /\ \/ promise[s].until <= now /\ promise[s].to /= c
       \/ promise[s].to = c /\ n >= promise[s].round
    /\ promise' = [promise EXCEPT ![s] = [to |-> c, round |-> n,
         until |-> IF promise[s].to = c THEN Max(promise[s].until, now + Ttl) ELSE now + Ttl]]
    /\ votes' = [votes EXCEPT ![c] = IF n = round[c].number THEN @ \cup {<<s, up[s]>>} ELSE @]
    /\ UNCHANGED <<now, up, round, lease, back, restarts>>

Win(c) ==
    /\ Cardinality(votes[c]) >= Quorum
    /\ now < round[c].sent + Lease
    /\ lease' = [lease EXCEPT ![c] = Max(@, round[c].sent + Lease)]
    /\ UNCHANGED <<now, up, promise, round, votes, back, restarts>>

Resign(c) ==
    /\ now < lease[c]
    /\ round[c].number < MaxRounds
    /\ lease' = [lease EXCEPT ![c] = 0]
    /\ round' = [round EXCEPT ![c].number = @ + 1]
    /\ votes' = [votes EXCEPT ![c] = {}]
    /\ back' = back \cup {<<c, round[c].number + 1>>}
    /\ UNCHANGED <<now, up, promise, restarts>>

GiveBack(s, m) ==
    /\ promise[s].to = m[1]
    /\ promise[s].round <= m[2]
    /\ promise' = [promise EXCEPT ![s] = [to |-> m[1], until |-> now, round |-> m[2]]]
    /\ UNCHANGED <<now, up, round, votes, lease, back, restarts>>

Restart(s) ==
    /\ restarts < MaxRestarts
    /\ restarts' = restarts + 1
    /\ up' = [up EXCEPT ![s] = now]
    /\ promise' = [promise EXCEPT ![s] = NoPromise]
    /\ UNCHANGED <<now, round, votes, lease, back>>

\* The bound on time is the only place where nothing else happens, so every deadlock is a fault.
Done == now = MaxTime /\ UNCHANGED vars

Next ==
    \/ Tick
    \/ Done
    \/ \E c \in Candidates : Ask(c) \/ Win(c) \/ Resign(c)
    \/ \E s \in Slots : Restart(s)
    \/ \E s \in Slots, c \in Candidates, n \in 1..MaxRounds : Vote(s, c, n)
    \/ \E s \in Slots, m \in back : GiveBack(s, m)

InvOneCoordinator ==
    \A c, d \in Candidates : now < lease[c] /\ now < lease[d] => c = d
====
