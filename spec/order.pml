/*
 * Model of the planner lease and of orders: one plan is executed, even by an
 * endpoint that does not check fencing tokens.
 *
 * Two planners compete for a lease. Each acquisition of the lease gets a fencing
 * token that is higher than all earlier ones. A planner writes its plan by
 * compare-and-swap and orders both endpoints to execute it. It checks its lease
 * before each step, and considers it expired before the store does, but may be
 * paused between the check and the step. Endpoint 0 refuses an order with an
 * outdated fencing token. Endpoint 1 executes any order. An order may arrive
 * late.
 *
 * Modelled code: lavlease.Acquire, (*lavlease.Lease).Valid, and in lavorder the
 * write of the plan, the orders, and the repetition of orders whose effect is
 * missing or was reverted.
 *
 * Safety: neither the plan nor endpoint 0 ever returns to a lower fencing token.
 * Progress: once leases no longer expire, both endpoints eventually execute the
 * current plan and keep doing so.
 *
 * Flags that remove one guard each:
 *   BROKEN_FENCE   endpoint 0 does not check fencing tokens either
 *   BROKEN_REPAIR  each order is sent once, and its effect is not checked
 *   BROKEN_CAS     the plan is written unconditionally
 *   BROKEN_RETRY   a planner gives up after a conflict on writing the plan
 */

#define PLANNERS 2
#define ENDPOINTS 2
#define MAX_EXPIRATIONS 2
#define NO_PLANNER 9

/* The holder of the lease, the fencing token of its latest acquisition, the number
 * of expired leases, and the fencing token of the plan in the store. */
byte leaseHolder = NO_PLANNER;
byte latestToken;
byte expirations;
byte planToken;
/* The fencing token of the order that each endpoint executed last. */
byte executedToken[ENDPOINTS];
/* The fencing token of an order from a planner to an endpoint that has not
 * arrived yet, or 0 if there is none. */
byte orderInFlight[PLANNERS * ENDPOINTS];

#define ORDER(p, e) orderInFlight[(p) * ENDPOINTS + (e)]

/* The lease may expire in the store while its holder is paused. */
active proctype LeaseExpiry() {
	do
	:: atomic { leaseHolder != NO_PLANNER && expirations < MAX_EXPIRATIONS -> leaseHolder = NO_PLANNER; expirations++ }
	:: break
	od
}

inline deliverOrder(p, e) {
	if
#ifndef BROKEN_FENCE
	:: e == 0 && ORDER(p, e) < executedToken[e]
#endif
	:: else ->
		assert(e == 1 || ORDER(p, e) >= executedToken[e]);
		executedToken[e] = ORDER(p, e)
	fi;
	ORDER(p, e) = 0
}

active proctype Network() {
end:
	do
	:: atomic { ORDER(0, 0) != 0 -> deliverOrder(0, 0) }
	:: atomic { ORDER(0, 1) != 0 -> deliverOrder(0, 1) }
	:: atomic { ORDER(1, 0) != 0 -> deliverOrder(1, 0) }
	:: atomic { ORDER(1, 1) != 0 -> deliverOrder(1, 1) }
	od
}

proctype Planner(byte me) {
	byte token, readToken;
	bool ordered[ENDPOINTS];
end:
	do
	:: atomic { leaseHolder == NO_PLANNER -> leaseHolder = me; latestToken++; token = latestToken; ordered[0] = false; ordered[1] = false };
		/* Read the fencing token of the current plan. */
readPlan:		readToken = planToken;
		/* From here on the lease may have expired without the planner noticing. */
#ifdef BROKEN_CAS
		atomic { assert(token >= planToken); planToken = token };
#else
		if
		:: atomic { planToken == readToken && readToken < token -> planToken = token }
		/* A planner with a higher token has written the plan. */
		:: atomic { readToken > token -> goto stepDown }
		/* Another planner, such as an earlier one that was paused, has written the
		 * plan since it was read: read it again. */
		:: atomic { planToken != readToken && readToken < token ->
#ifdef BROKEN_RETRY
			goto stepDown
#else
			goto readPlan
#endif
		}
		fi;
#endif
endOrders:
		do
		:: leaseHolder != me || latestToken != token -> break
#ifdef BROKEN_REPAIR
		:: leaseHolder == me && latestToken == token && !ordered[0] -> ordered[0] = true; ORDER(me, 0) = token
		:: leaseHolder == me && latestToken == token && !ordered[1] -> ordered[1] = true; ORDER(me, 1) = token
#else
		:: leaseHolder == me && latestToken == token && executedToken[0] != token -> ORDER(me, 0) = token; ORDER(me, 0) == 0
		:: leaseHolder == me && latestToken == token && executedToken[1] != token -> ORDER(me, 1) = token; ORDER(me, 1) == 0
#endif
		od;
stepDown:		skip
	od
}

#ifdef LIVE
/* Idle takes a step whenever no other process can. This makes a deadlocked run
 * infinite, so that the liveness search reports it. */
bit idle;
active proctype Idle() {
end:
	do
	:: timeout -> idle = 1 - idle
	od
}
#endif

init {
	atomic {
		run Planner(0);
		run Planner(1)
	}
}

#define planExecuted (planToken == latestToken && latestToken > 0 && executedToken[0] == planToken && executedToken[1] == planToken)
ltl planStaysExecuted { <> [] planExecuted }
