/*
 * Model of releases: a release that was reported to its operator as in force
 * reaches all hosts and is never reverted.
 *
 * Two operators publish one note each. A note is a change to the configuration.
 * It is based on the version that the operator read last, and is published by a
 * compare-and-swap of the head in the store. If the reply is lost, the operator
 * reads the head back. Two hosts watch the head and exchange releases by gossip.
 * A host may restart, and then has no release. The store may have an outage.
 * With STALE, it may lose its latest version once, as after a restore from a
 * backup.
 *
 * Modelled code: Publish, commit, (*Follower).Serve and (*Follower).Adopt of
 * lavrelease, lavstore.PutVerified, and the gossip of releases in lavnode.
 *
 * Safety:
 *   - a host does not return to an older version unless it restarts;
 *   - two hosts with the same version have the same note;
 *   - an operator is told InForce only if the note is in the history, and
 *     Conflict only if it is not.
 * Progress: eventually both hosts have the same version, which is at least that of
 * the head.
 *
 * Flags that remove one guard each:
 *   BROKEN_HIGHER    a host adopts any version that differs from its own, even
 *                    an older one
 *   BROKEN_CAS       the head is written unconditionally
 *   BROKEN_READBACK  a lost reply is reported as a conflict
 *   BROKEN_MESH      there is no gossip, so that a restarted host learns
 *                    nothing from its peer, and an outage never ends
 *   BROKEN_ASK       an operator publishes even if a host has a newer version
 *                    than the head (used with STALE)
 */

#define OPERATORS 2
#define HOSTS 2
#define NO_NOTE 0

mtype = { Pending, InForce, Conflict, Unknown };

/* The head's version, and the ID of the note that created each version. */
byte headVersion;
byte noteOfVersion[4];
byte backup;
bool storeUp = true;

byte hostVersion[HOSTS];
byte hostNote[HOSTS];
byte restartCount[HOSTS];
mtype result[OPERATORS] = Pending;
byte finishedOperators;

#define NOTE_ID(op) ((op) + 1)
#define IN_HISTORY(id) (noteOfVersion[1] == (id) || noteOfVersion[2] == (id) || noteOfVersion[3] == (id))

/* Before a publish, an operator asks the hosts for their versions. A host whose
 * version is newer than the head writes it back to the store. Both matter only
 * after the store has lost a version. */
#ifdef BROKEN_ASK
#define HOSTS_NOT_AHEAD true
#else
#define HOSTS_NOT_AHEAD (hostVersion[0] <= headVersion && hostVersion[1] <= headVersion)
#endif

inline adopt(h, version, noteId) {
	if
#ifdef BROKEN_HIGHER
	:: version != hostVersion[h] ->
#else
	:: version > hostVersion[h] ->
#endif
		assert(version >= hostVersion[h]);
		hostVersion[h] = version;
		hostNote[h] = noteId
	:: else
	fi;
	assert(hostVersion[0] != hostVersion[1] || hostNote[0] == hostNote[1])
}

active proctype StoreOutage() {
	if
	:: skip
	:: storeUp = false;
#ifdef BROKEN_MESH
		false;
#endif
#ifdef STALE
		/* The store is restored from a backup that is one version older. */
		if
		:: atomic { headVersion > 0 -> noteOfVersion[headVersion] = NO_NOTE; headVersion-- }
		:: skip
		fi;
#endif
		storeUp = true
	fi
}

proctype HostRestart() {
	if
	:: atomic { hostVersion[0] > 0 -> hostVersion[0] = 0; hostNote[0] = NO_NOTE; restartCount[0]++ }
	:: skip
	fi
}

proctype Operator(byte me) {
	byte base, tries;
retry:
	if
	:: atomic { storeUp -> base = headVersion }
	:: atomic { !storeUp -> result[me] = Unknown; goto finish }
	fi;
	/* The compare-and-swap of the head. Its reply may be lost. */
	if
#ifdef BROKEN_CAS
	:: atomic { storeUp -> assert(noteOfVersion[base + 1] == NO_NOTE); headVersion = base + 1; noteOfVersion[headVersion] = NOTE_ID(me) };
#else
	:: atomic { storeUp && headVersion == base && HOSTS_NOT_AHEAD -> headVersion = base + 1; noteOfVersion[headVersion] = NOTE_ID(me) };
#endif
		if
		:: result[me] = InForce
		:: goto readBack
		fi
	:: atomic { storeUp && (headVersion != base || !HOSTS_NOT_AHEAD) -> result[me] = Conflict }
	:: atomic { !storeUp -> result[me] = Unknown }
	fi;
	goto finish;
readBack:
	if
#ifdef BROKEN_READBACK
	:: result[me] = Conflict
#else
	:: atomic { storeUp && IN_HISTORY(NOTE_ID(me)) -> result[me] = InForce }
	:: atomic { storeUp && !IN_HISTORY(NOTE_ID(me)) -> result[me] = Conflict }
#endif
	:: result[me] = Unknown
	fi;
finish:
#ifndef STALE
	assert(result[me] != InForce || IN_HISTORY(NOTE_ID(me)));
	assert(result[me] != Conflict || !IN_HISTORY(NOTE_ID(me)));
#endif
	/* After a conflict, an operator reads the head and tries once more. */
	if
	:: result[me] == Conflict && tries == 0 -> tries++; goto retry
	:: else
	fi;
	finishedOperators++
}

proctype Host(byte me) {
end:
	do
	:: atomic { storeUp && headVersion != hostVersion[me] -> adopt(me, headVersion, noteOfVersion[headVersion]) }
#ifdef STALE
	:: atomic { storeUp && headVersion < hostVersion[me] -> headVersion = hostVersion[me]; noteOfVersion[headVersion] = hostNote[me] }
#endif
#ifndef BROKEN_MESH
	:: atomic { hostVersion[1 - me] > hostVersion[me] -> adopt(me, hostVersion[1 - me], hostNote[1 - me]) }
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
		run Operator(0);
		run Operator(1);
		run Host(0);
		run Host(1);
		run HostRestart()
	}
}

ltl hostsConverge { <> [] (finishedOperators == OPERATORS && hostVersion[0] == hostVersion[1] && (hostVersion[0] >= headVersion)) }
