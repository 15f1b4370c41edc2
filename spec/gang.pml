/*
 * Model of gangs: a prompt that exceeds the memory of one engine reserves
 * memory on several engines, on all or on none, and no reservation leaks.
 *
 * Two hosts run one gang each, and each gang needs both engines. An engine has
 * room for one reservation. A host records a claim locally and then calls the
 * engine to reserve memory. The call may arrive late, even after the host has
 * died. The host that owns an endpoint sweeps it: it releases a reservation if
 * the host that made it, when asked, does not claim it. One host may die at any
 * step. One engine may die once and then loses its reservation. Each gang
 * prefills two segments and saves a checkpoint after each.
 *
 * Modelled code, in lavgang: reserving the engines in one global order, the
 * checkpoint after each segment, the release, and the Sweeper.
 *
 * Safety:
 *   - a reservation that a gang is using is released only by its own host,
 *     unless the engine dies;
 *   - each death of an engine costs a gang at most one segment.
 * Progress: every gang ends, and eventually all engines stay free.
 *
 * Flags that remove one guard each:
 *   BROKEN_SWEEP    there is no sweep
 *   BROKEN_CLAIM    the sweep does not ask the host for its claim
 *   BROKEN_ORDER    the second host reserves the engines in the opposite order
 *   BROKEN_RELEASE  a gang that lost a reservation keeps the others while it
 *                   reserves again
 */

#define HOSTS 2
#define ENGINES 2
#define SEGMENTS 2
#define NO_HOST 9

byte reservedBy[ENGINES] = NO_HOST;
/* Per host and engine: whether the call to reserve memory has not arrived yet,
 * and whether the host claims the reservation. */
bool reserveInFlight[HOSTS * ENGINES];
bool claims[HOSTS * ENGINES];
bool prefilling[HOSTS];
bool hostDead[HOSTS];
byte engineDeaths;
byte lostSegments[HOSTS];
byte finishedHosts;

#define RESERVATION_INDEX(h, e) ((h) * ENGINES + (e))
#define HOLDS_ALL(h) (reservedBy[0] == (h) && reservedBy[1] == (h))
#ifdef BROKEN_ORDER
#define FIRST_ENGINE(h) (h)
#else
#define FIRST_ENGINE(h) 0
#endif
#define SECOND_ENGINE(h) (1 - FIRST_ENGINE(h))

/* A call that arrives at a full engine waits there until the engine is free. */
active proctype Network() {
end:
	do
	:: atomic { reserveInFlight[RESERVATION_INDEX(0, 0)] && reservedBy[0] == NO_HOST -> reserveInFlight[RESERVATION_INDEX(0, 0)] = false; reservedBy[0] = 0 }
	:: atomic { reserveInFlight[RESERVATION_INDEX(0, 1)] && reservedBy[1] == NO_HOST -> reserveInFlight[RESERVATION_INDEX(0, 1)] = false; reservedBy[1] = 0 }
	:: atomic { reserveInFlight[RESERVATION_INDEX(1, 0)] && reservedBy[0] == NO_HOST -> reserveInFlight[RESERVATION_INDEX(1, 0)] = false; reservedBy[0] = 1 }
	:: atomic { reserveInFlight[RESERVATION_INDEX(1, 1)] && reservedBy[1] == NO_HOST -> reserveInFlight[RESERVATION_INDEX(1, 1)] = false; reservedBy[1] = 1 }
	od
}

#define CLAIMED_BY_LIVE_HOST(e) (reservedBy[e] != NO_HOST && claims[RESERVATION_INDEX(reservedBy[e] % HOSTS, e)] && !hostDead[reservedBy[e] % HOSTS])

#ifndef BROKEN_SWEEP
/* The owner of an endpoint releases a reservation that no live host claims. */
proctype Sweeper(byte e) {
end:
	do
#ifdef BROKEN_CLAIM
	:: atomic { reservedBy[e] != NO_HOST -> assert(!prefilling[reservedBy[e]] || hostDead[reservedBy[e]]); reservedBy[e] = NO_HOST }
#else
	:: atomic { reservedBy[e] != NO_HOST && !CLAIMED_BY_LIVE_HOST(e) -> assert(!prefilling[reservedBy[e]] || hostDead[reservedBy[e]]); reservedBy[e] = NO_HOST }
#endif
	od
}
#endif

active proctype HostDeath() {
	if
	:: hostDead[0] = true
	:: skip
	fi
}

active proctype EngineDeath() {
	if
	:: atomic { reservedBy[0] = NO_HOST; engineDeaths++ }
	:: skip
	fi
}

inline reserve(h, e) {
	atomic {
		claims[RESERVATION_INDEX(h, e)] = true;
		if
		:: reservedBy[e] != h -> reserveInFlight[RESERVATION_INDEX(h, e)] = true
		:: else
		fi
	};
	reservedBy[e] == h || !reserveInFlight[RESERVATION_INDEX(h, e)]
}

inline release(h, e) {
	atomic {
		claims[RESERVATION_INDEX(h, e)] = false;
		/* The call to release may be lost. The sweep then releases the
		 * reservation. */
		if
		:: reservedBy[e] == h -> reservedBy[e] = NO_HOST
		:: skip
		fi
	}
}

proctype Host(byte me) {
	byte checkpoints;
	{
		do
		:: checkpoints == SEGMENTS -> break
		:: else ->
			reserve(me, FIRST_ENGINE(me));
			reserve(me, SECOND_ENGINE(me));
			if
			:: atomic { HOLDS_ALL(me) -> prefilling[me] = true }
			:: atomic { !HOLDS_ALL(me) -> goto releaseAll }
			fi;
			/* Prefill the remaining segments and save a checkpoint after each. The
			 * current segment is lost if a reservation is lost. */
			do
			:: checkpoints == SEGMENTS -> break
			:: atomic { checkpoints < SEGMENTS && HOLDS_ALL(me) -> checkpoints++ }
			:: atomic {
				checkpoints < SEGMENTS && !HOLDS_ALL(me) ->
				lostSegments[me]++;
				assert(lostSegments[me] <= engineDeaths);
				break
			}
			od;
			prefilling[me] = false;
releaseAll:
			/* Release all engines before reserving again. Otherwise two gangs could
			 * wait for each other. */
#ifdef BROKEN_RELEASE
			skip
#else
			release(me, 0);
			release(me, 1)
#endif
		od;
		release(me, 0);
		release(me, 1)
	} unless { hostDead[me] };
	finishedHosts++
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
#ifndef BROKEN_SWEEP
		run Sweeper(0);
		run Sweeper(1);
#endif
		run Host(0);
		run Host(1)
	}
}

ltl allMemoryFreed { <> [] (finishedHosts == HOSTS && reservedBy[0] == NO_HOST && reservedBy[1] == NO_HOST) }
