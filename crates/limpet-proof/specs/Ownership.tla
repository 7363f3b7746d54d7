---- MODULE Ownership ----
\* Ownership of one target across changes of the coordinator. Requests and replies stay in flight for
\* ever: each may be delivered any number of times, late, out of order or never.
EXTENDS Integers, FiniteSets

CONSTANTS Relays, Ttl, Lease, Grace, MaxTime, MaxRequests, CheckTerm, CountFromSend

VARIABLES now, term, leaseEnd, graceEnd, owner, ownerEnd, held, requests, replies

vars == <<now, term, leaseEnd, graceEnd, owner, ownerEnd, held, requests, replies>>

Max(a, b) == IF a > b THEN a ELSE b

Init ==
    /\ now = 0
    /\ term = 1
    /\ leaseEnd = Lease
    /\ graceEnd = 0
    /\ owner = "nobody"
    /\ ownerEnd = 0
    /\ held = [r \in Relays |-> 0]
    /\ requests = {}
    /\ replies = {}

Tick ==
    /\ now < MaxTime
    /\ now' = now + 1
    /\ UNCHANGED <<term, leaseEnd, graceEnd, owner, ownerEnd, held, requests, replies>>

Renew ==
    /\ now < leaseEnd
    /\ leaseEnd < now + Lease
    /\ leaseEnd' = now + Lease
    /\ UNCHANGED <<now, term, graceEnd, owner, ownerEnd, held, requests, replies>>

Elect ==
    /\ now >= leaseEnd
    /\ term' = term + 1
    /\ leaseEnd' = now + Lease
    /\ graceEnd' = now + Grace
    /\ owner' = "nobody"
    /\ ownerEnd' = 0
    /\ UNCHANGED <<now, held, requests, replies>>

\* A relay quotes at best the current term; a relay that has not heard of it yet asks for less.
Send(r) ==
    /\ Cardinality(requests) < MaxRequests
    /\ requests' = requests \cup
         {[from |-> r, sent |-> now, term |-> term, claim |-> now < held[r]]}
    /\ UNCHANGED <<now, term, leaseEnd, graceEnd, owner, ownerEnd, held, replies>>

IsOwned == now < ownerEnd

Deliver(m) ==
    /\ now < leaseEnd
    /\ LET counts == ~CheckTerm \/ m.term = term
       IN \/ IsOwned /\ owner = m.from /\ (counts \/ ~m.claim)
          \/ ~IsOwned /\ m.claim /\ counts
          \/ ~IsOwned /\ ~m.claim /\ now >= graceEnd
    /\ owner' = m.from
    /\ ownerEnd' = now + Ttl
    /\ replies' = replies \cup {<<m.from, IF CountFromSend THEN m.sent ELSE now>>}
    /\ UNCHANGED <<now, term, leaseEnd, graceEnd, held, requests>>

Receive(p) ==
    /\ LET from == IF CountFromSend THEN p[2] ELSE now
       IN /\ now < from + Ttl
          /\ held[p[1]] < from + Ttl
          /\ held' = [held EXCEPT ![p[1]] = from + Ttl]
    /\ UNCHANGED <<now, term, leaseEnd, graceEnd, owner, ownerEnd, requests, replies>>

Done == now = MaxTime /\ UNCHANGED vars

Next ==
    \/ Tick
    \/ Renew
    \/ Elect
    \/ Done
    \/ \E r \in Relays : Send(r)
    \/ \E m \in requests : Deliver(m)
    \/ \E p \in replies : Receive(p)

InvOneOwner == \A r, s \in Relays : now < held[r] /\ now < held[s] => r = s
====
