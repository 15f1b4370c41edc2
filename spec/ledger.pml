/*
 * Model of the ledger: a non-repeatable call is sent at most once.
 *
 * Two hosts receive the same two calls, as happens when a caller retries them.
 * The records of both calls are in one shard, which the store keeps as one value
 * with one revision. A host claims all calls of a batch by one compare-and-swap
 * (group commit). A write may be delayed, be dropped, or take effect while its
 * reply is lost. The store has one outage, and one host may die at any step.
 *
 * Modelled code: (*lavledger.Ledger).Run, which claims a call, reads the claim
 * back after a lost reply, voids a claim that it gives up (here by incrementing
 * the revision), sends the call, settles its outcome or awaits another host's
 * outcome; and lavstore.PutVerified.
 *
 * Safety:
 *   - a call is sent at most once;
 *   - a host that reported NotRun has not sent the call, and its claim does not
 *     take effect later, so that a retry can still run the call;
 *   - Done is reported only for a call that was sent.
 * Progress: every host reports an outcome of both calls, or dies.
 *
 * Flags that remove one guard each:
 *   BROKEN_READBACK  a host takes a lost reply for a success
 *   BROKEN_FENCE     a host reports NotRun while its claim write may still
 *                    arrive
 *   BROKEN_TAKEOVER  a waiting host sends a call that another host has claimed
 *                    and not settled
 *   BROKEN_DEADLINE  a waiting host has no deadline
 */

#define HOSTS 2
#define KEYS 2
#ifndef TRIES
#define TRIES 2
#endif
#define NO_HOST 9

mtype = { NoWrite, InFlight, Accepted, Rejected, NoReply };
mtype = { Unclaimed, Claimed, SettledDone, SettledUnknown };
mtype = { Pending, Done, NotRun, Unknown };

/* The shard in the store: its revision, and the record of each call. */
byte revision = 1;
byte claimant[KEYS] = NO_HOST;
mtype recordState[KEYS] = Unclaimed;
bool storeUp = true;

/* The latest claim write of each host: its state, the revision that it expects,
 * and the bit set of the calls that it claims. */
mtype claimWrite[HOSTS] = NoWrite;
byte writeRevision[HOSTS];
byte writeKeys[HOSTS];

mtype outcome[HOSTS * KEYS] = Pending;
byte sendCount[KEYS];
bool sentBy[HOSTS * KEYS];
bool hostDead[HOSTS];
byte finishedHosts;

#define OUTCOME(h, k) outcome[(h) * KEYS + (k)]
#define PENDING(h, k) (OUTCOME(h, k) == Pending)
#define HAS_KEY(keys, k) ((keys) & (1 << (k)))
#define ALL_ANSWERED(h) (!PENDING(h, 0) && !PENDING(h, 1))
#define CLAIMS_STORED(h, keys) ((!HAS_KEY(keys, 0) || claimant[0] == h) && (!HAS_KEY(keys, 1) || claimant[1] == h))

inline reportOutcome(h, keys, value) {
	d_step {
		if
		:: HAS_KEY(keys, 0) && PENDING(h, 0) -> OUTCOME(h, 0) = value
		:: else
		fi;
		if
		:: HAS_KEY(keys, 1) && PENDING(h, 1) -> OUTCOME(h, 1) = value
		:: else
		fi;
		assert(OUTCOME(h, 0) != NotRun || !sentBy[(h) * KEYS]);
		assert(OUTCOME(h, 1) != NotRun || !sentBy[(h) * KEYS + 1])
	}
}

inline sendCall(h, k) {
	d_step {
		sendCount[k]++;
		sentBy[(h) * KEYS + (k)] = true;
		assert(sendCount[k] <= 1);
		assert(OUTCOME(h, k) != NotRun)
	}
}

inline claimKey(h, k) {
	if
	:: HAS_KEY(writeKeys[h], k) ->
		assert(OUTCOME(h, k) != NotRun);
		claimant[k] = h;
		recordState[k] = Claimed
	:: else
	fi
}

/* deliver applies a claim write if the shard still has the expected revision.
 * The reply may be lost. */
inline deliver(h) {
	if
	:: revision == writeRevision[h] ->
		revision++;
		claimKey(h, 0);
		claimKey(h, 1);
		if
		:: claimWrite[h] = Accepted
		:: claimWrite[h] = NoReply
		fi
	:: else ->
		if
		:: claimWrite[h] = Rejected
		:: claimWrite[h] = NoReply
		fi
	fi
}

active proctype Network() {
end:
	do
	:: atomic { claimWrite[0] == InFlight && storeUp -> deliver(0) }
	:: atomic { claimWrite[1] == InFlight && storeUp -> deliver(1) }
	:: atomic { claimWrite[0] == InFlight -> claimWrite[0] = NoReply }
	:: atomic { claimWrite[1] == InFlight -> claimWrite[1] = NoReply }
	od
}

active proctype StoreOutage() {
	storeUp = false;
	storeUp = true
}

/* HostDeath stops at most one host. */
active proctype HostDeath() {
	if
	:: hostDead[0] = true
	:: skip
	fi
}

inline sendAndSettle(h, k) {
	if
	:: HAS_KEY(keys, k) && PENDING(h, k) ->
		sendCall(h, k);
		/* The endpoint's response may be lost. */
		if
		:: OUTCOME(h, k) = Done
		:: OUTCOME(h, k) = Unknown
		fi;
		/* Other hosts learn the outcome unless this write fails. */
		if
		:: atomic { storeUp -> revision++; recordState[k] = (OUTCOME(h, k) == Done -> SettledDone : SettledUnknown) }
		:: skip
		fi
	:: else
	fi
}

inline awaitOutcome(h, k) {
	do
	:: !PENDING(h, k) -> break
	:: atomic { PENDING(h, k) && storeUp && recordState[k] == SettledDone -> OUTCOME(h, k) = Done; assert(sendCount[k] == 1) }
	:: atomic { PENDING(h, k) && storeUp && recordState[k] == SettledUnknown -> OUTCOME(h, k) = Unknown }
#ifdef BROKEN_TAKEOVER
	:: atomic { PENDING(h, k) && storeUp && recordState[k] == Claimed -> sendCall(h, k); OUTCOME(h, k) = Done }
#endif
#ifndef BROKEN_DEADLINE
	:: atomic { PENDING(h, k) -> OUTCOME(h, k) = Unknown }
#endif
	od
}

proctype Host(byte me) {
	byte readRevision, keys, tries;
	{
		skip;
claim:
		if
		:: atomic {
			storeUp ->
			readRevision = revision;
			keys = (recordState[0] == Unclaimed && PENDING(me, 0) -> 1 : 0) + (recordState[1] == Unclaimed && PENDING(me, 1) -> 2 : 0)
		}
		:: atomic { !storeUp -> reportOutcome(me, 3, NotRun) }; goto finish
		fi;
		if
		:: keys == 0 -> goto await
		:: else
		fi;
		/* This replaces an older write of the same host that may still be in
		 * flight. The older write can't succeed any more, because a host retries
		 * only after the revision has changed. */
		atomic { claimWrite[me] = InFlight; writeRevision[me] = readRevision; writeKeys[me] = keys };
		if
		:: claimWrite[me] == Accepted -> goto send
		:: claimWrite[me] == Rejected -> goto retry
		:: claimWrite[me] == NoReply -> goto readBack
		/* The host times out while the write may still arrive. */
		:: claimWrite[me] == InFlight -> goto readBack
		fi;
readBack:
#ifdef BROKEN_READBACK
		goto send;
#endif
		if
		:: atomic { storeUp && CLAIMS_STORED(me, keys) } -> goto send
		:: atomic { storeUp && !CLAIMS_STORED(me, keys) && revision != readRevision } -> goto retry
		:: atomic { storeUp && !CLAIMS_STORED(me, keys) && revision == readRevision } ->
#ifdef BROKEN_FENCE
			reportOutcome(me, keys, NotRun);
			goto await
#else
			/* Increment the revision, so that the delayed write can't succeed. */
			if
			:: atomic { storeUp && revision == readRevision -> revision++ }
			:: atomic { storeUp && revision != readRevision }
			:: reportOutcome(me, keys, Unknown); goto await
			fi;
			goto readBack
#endif
		:: reportOutcome(me, keys, Unknown); goto await
		fi;
retry:
		tries++;
		if
		:: tries == TRIES -> reportOutcome(me, keys, NotRun); goto await
		:: else -> goto claim
		fi;
send:
		sendAndSettle(me, 0);
		sendAndSettle(me, 1);
await:
		awaitOutcome(me, 0);
		awaitOutcome(me, 1);
finish:
		assert(ALL_ANSWERED(me))
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
		run Host(0);
		run Host(1)
	}
}

ltl allHostsFinish { <> (finishedHosts == HOSTS) }
