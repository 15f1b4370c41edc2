/*
 * Model of credits: all entry hosts together never start more work at a cold
 * endpoint than it can run, even if the endpoint's owner changes and the
 * endpoint restarts without notice. In this model an endpoint is cold from a
 * restart until it has warmed up; its limit is lower while it is cold.
 *
 * Two hosts compete for the lease that makes its holder the owner of the
 * endpoint. The owner checks its lease, may be paused, and then grants a credit
 * to one of two entry hosts. An entry host uses a credit, before the credit
 * expires, to start one unit of work. Time is counted in ticks. The owner
 * considers its lease expired one tick before the store does. The endpoint may
 * restart at any tick: it is then cold, has a new incarnation, and has lost its
 * connections and its work. A load report is a snapshot and may be stale.
 *
 * The owner counts as possible work the work in its latest load report, plus
 * every credit that was valid when the report was taken or that it has granted
 * since. A new owner ignores reports from before it acquired the lease.
 *
 * Modelled code: lavcredit.Allocator, lavcredit.Holder and
 * (*lavlease.Lease).Valid.
 *
 * Safety: a cold endpoint runs at most COLD_LIMIT units of work, a warm one at
 * most WARM_LIMIT.
 * Progress: the lease is always held again after it expires. With PROMPT, where
 * hosts act before the next tick, work is started infinitely often.
 *
 * Flags that remove one guard each:
 *   BROKEN_PAUSE        the lifetime of a credit starts at its grant instead of
 *                       at the lease check before it
 *   BROKEN_HANDOVER     a new owner uses reports from before it acquired the
 *                       lease
 *   BROKEN_INCARNATION  a credit stays valid after the endpoint restarts
 *   BROKEN_SPENT        the owner stops counting a credit as soon as it is used
 *                       or expires
 *   BROKEN_TAKEOVER     only owner 0 acquires the lease, and only until the
 *                       endpoint restarts
 */

#define OWNERS 2
#define ENTRY_HOSTS 2
#define WARM_LIMIT 2
#define COLD_LIMIT 1
#define CREDIT_TICKS 2
#define LEASE_TICKS 3
#define MAX_RESTARTS 2
#define NO_HOST 9

/* The lease: its holder, and the ticks left in the store and as each owner counts
 * them. An owner counts one tick less than the store. */
byte leaseHolder = NO_HOST;
byte storeLeaseTicks;
byte localLeaseTicks[OWNERS];

/* State of the endpoint. Work is counted in units. */
byte runningWork;
byte incarnation;
bool cold;
byte workByHost[ENTRY_HOSTS];

/* Remaining ticks of each entry host's credit, 0 if it has none, and the
 * incarnation of the endpoint that the credit was granted for. */
byte creditTicks[ENTRY_HOSTS];
byte creditIncarnation[ENTRY_HOSTS];

/* The latest load report of each owner, and the number of credits that were
 * valid when the report was taken or have been granted since. */
bool hasReport[OWNERS];
byte reportRunning[OWNERS];
byte reportIncarnation[OWNERS];
bool reportCold[OWNERS];
byte outstandingCredits[OWNERS];

/* The lifetime of the credit that an owner is about to grant, in ticks left since
 * the lease check, and whether the owner has made that check. */
byte grantTicks[OWNERS];
bool leaseChecked[OWNERS];

#define LOAD_LIMIT(o) (reportCold[o] -> COLD_LIMIT : WARM_LIMIT)
#define VALID_CREDITS ((creditTicks[0] > 0 -> 1 : 0) + (creditTicks[1] > 0 -> 1 : 0))

inline decrement(x) {
	if
	:: x > 0 -> x--
	:: else
	fi
}

/* Whether work was started, and whether each owner received a load report,
 * since the last tick. Only PROMPT reads these. */
bool workStarted;
bool reportedThisTick[OWNERS];

/* MAY_GRANT is true if the work that may be running at the endpoint is below the
 * limit, so that the owner may grant one more credit. */
#ifdef BROKEN_SPENT
#define POSSIBLE_WORK(o) (reportRunning[o] + VALID_CREDITS)
#else
#define POSSIBLE_WORK(o) (reportRunning[o] + outstandingCredits[o])
#endif
#define MAY_GRANT(o) (hasReport[o] && POSSIBLE_WORK(o) < LOAD_LIMIT(o))

#ifdef PROMPT
/* A tick passes only when no entry host can start work and the owner has neither
 * a credit to grant nor a report to wait for before a grant. */
#define CAN_START_WORK(f) (creditTicks[f] > 0 && creditIncarnation[f] == incarnation)
#define CREDIT_SLOT_FREE (creditTicks[0] == 0 || creditTicks[1] == 0)
#define OWNER_CAN_ACT(o) (leaseHolder == o && localLeaseTicks[o] > 0 && (!reportedThisTick[o] || MAY_GRANT(o)) && CREDIT_SLOT_FREE)
#define MAY_TICK !(CAN_START_WORK(0) || CAN_START_WORK(1) || OWNER_CAN_ACT(0) || OWNER_CAN_ACT(1))
#define RENEW_AT_TICKS 1
#define NEEDS_REPORT(o) !reportedThisTick[o]
#else
#define MAY_TICK true
#define RENEW_AT_TICKS LEASE_TICKS
#define NEEDS_REPORT(o) true
#endif

active proctype Clock() {
end:
	do
	:: atomic {
		MAY_TICK ->
#ifdef PROMPT
		workStarted = false;
		reportedThisTick[0] = false;
		reportedThisTick[1] = false;
#endif
		decrement(storeLeaseTicks);
		decrement(localLeaseTicks[0]);
		decrement(localLeaseTicks[1]);
		decrement(creditTicks[0]);
		decrement(creditTicks[1]);
		decrement(grantTicks[0]);
		decrement(grantTicks[1])
	}
	od
}

active proctype Endpoint() {
end:
	do
	/* The endpoint restarts: it loses all work and is cold. */
	:: atomic { incarnation < MAX_RESTARTS -> incarnation++; runningWork = 0; workByHost[0] = 0; workByHost[1] = 0; cold = true }
	:: atomic { cold -> cold = false }
	/* A unit of work ends. */
	:: atomic { workByHost[0] > 0 -> workByHost[0]--; runningWork-- }
	:: atomic { workByHost[1] > 0 -> workByHost[1]--; runningWork-- }
	od
}

/* An entry host starts work. It checks the credit and sends the work in one
 * atomic step. */
proctype EntryHost(byte me) {
end:
	do
#ifdef BROKEN_INCARNATION
	:: atomic { creditTicks[me] > 0 ->
#else
	:: atomic { creditTicks[me] > 0 && creditIncarnation[me] == incarnation ->
#endif
		creditTicks[me] = 0;
#ifdef PROMPT
		workStarted = true;
#endif
		workByHost[me]++;
		runningWork++;
		assert(!cold || runningWork <= COLD_LIMIT);
		assert(runningWork <= WARM_LIMIT) }
	od
}

inline receiveReport(o) {
	hasReport[o] = true;
#ifdef PROMPT
	reportedThisTick[o] = true;
#endif
	reportRunning[o] = runningWork;
	reportIncarnation[o] = incarnation;
	reportCold[o] = cold;
	outstandingCredits[o] = VALID_CREDITS
}

proctype Owner(byte me) {
end:
	do
	/* Acquire the lease after it has expired in the store. */
	:: atomic {
#ifdef BROKEN_TAKEOVER
		storeLeaseTicks == 0 && me == 0 && incarnation == 0 ->
#else
		storeLeaseTicks == 0 && leaseHolder != me ->
#endif
		leaseHolder = me;
		storeLeaseTicks = LEASE_TICKS;
		localLeaseTicks[me] = LEASE_TICKS - 1;
#ifdef PROMPT
		reportedThisTick[me] = false;
#endif
#ifndef BROKEN_HANDOVER
		hasReport[me] = false;
#endif
		leaseChecked[me] = false
	}
	/* Renew the lease. */
	:: atomic { leaseHolder == me && storeLeaseTicks > 0 && storeLeaseTicks < LEASE_TICKS && localLeaseTicks[me] <= RENEW_AT_TICKS -> storeLeaseTicks = LEASE_TICKS; localLeaseTicks[me] = LEASE_TICKS - 1 }
	/* The lease has expired and no other host has acquired it. */
	:: atomic { leaseHolder == me && storeLeaseTicks == 0 -> leaseHolder = NO_HOST; leaseChecked[me] = false }
	/* Receive a load report. */
	:: atomic { leaseHolder == me && localLeaseTicks[me] > 0 && !leaseChecked[me] && NEEDS_REPORT(me) -> receiveReport(me) }
	/* Check the lease. The owner may be paused between this check and the
	 * grant. The credit expires no later than the lease. */
	:: atomic {
		leaseHolder == me && localLeaseTicks[me] > 0 && !leaseChecked[me] && MAY_GRANT(me) ->
		leaseChecked[me] = true;
		grantTicks[me] = (localLeaseTicks[me] < CREDIT_TICKS -> localLeaseTicks[me] : CREDIT_TICKS)
	}
	:: atomic {
		leaseChecked[me] && creditTicks[0] == 0 ->
		leaseChecked[me] = false;
#ifdef BROKEN_PAUSE
		creditTicks[0] = CREDIT_TICKS;
#else
		creditTicks[0] = grantTicks[me];
#endif
		creditIncarnation[0] = reportIncarnation[me];
		outstandingCredits[me]++
	}
	:: atomic {
		leaseChecked[me] && creditTicks[1] == 0 ->
		leaseChecked[me] = false;
#ifdef BROKEN_PAUSE
		creditTicks[1] = CREDIT_TICKS;
#else
		creditTicks[1] = grantTicks[me];
#endif
		creditIncarnation[1] = reportIncarnation[me];
		outstandingCredits[me]++
	}
#ifndef PROMPT
	:: atomic { leaseChecked[me] -> leaseChecked[me] = false }
#endif
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
		run EntryHost(0);
		run EntryHost(1);
		run Owner(0);
		run Owner(1)
	}
}

#ifdef PROMPT
ltl workKeepsStarting { [] <> workStarted }
#else
ltl leaseKeepsBeingHeld { [] <> (storeLeaseTicks > 0) }
#endif
