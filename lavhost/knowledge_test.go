package lavhost

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/lavstore"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/phuslu/log"
)

var quiet = &log.Logger{Level: log.PanicLevel}

func testKnowledge() *knowledge {
	fleet := lavfleet.New(lavfleet.Bounds{Retry: lavfleet.BudgetBounds{Window: time.Second}})
	return newKnowledge(lavmirror.New(), fleet, quiet)
}

func endpointEntry(revision lavstore.Revision, state string) lavmirror.Entry {
	return standin.EndpointEntry("e1", revision, "s", "10.0.0.1:80", "a", state)
}

func removed(revision lavstore.Revision) lavmirror.Entry {
	e := endpointEntry(revision, "ready")
	e.Removed = true
	return e
}

// serves reports whether the endpoint of the tests takes requests.
func serves(k *knowledge) bool {
	b, ok := k.fleet.Board("s", func(lavconfig.Incarnation) bool { return false })
	return ok && len(b.Endpoints) == 1
}

func startKnowledge(t *testing.T) *knowledge {
	t.Helper()
	k := testKnowledge()
	k.apply([]lavmirror.Entry{standin.ConfigEntry(1, 1, "s"), endpointEntry(2, "ready")}, true)
	lavassert.True(t, "the endpoint serves", serves(k))
	return k
}

func TestEndpointLeaves(t *testing.T) {
	t.Run("Draining", func(t *testing.T) {
		k := startKnowledge(t)
		k.apply([]lavmirror.Entry{endpointEntry(3, "draining")}, false)
		lavassert.True(t, "no new requests at once", !serves(k))
	})
	t.Run("RemovedSettled", func(t *testing.T) {
		k := startKnowledge(t)
		k.apply([]lavmirror.Entry{removed(3)}, true)
		lavassert.True(t, "no new requests at once", !serves(k))
	})
	t.Run("RemovedAsTheStoreReturns", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			k := startKnowledge(t)
			k.apply([]lavmirror.Entry{removed(3)}, false)
			lavassert.True(t, "it may come back", serves(k))
			time.Sleep(returnTime / 2)
			k.tick(false, false)
			lavassert.True(t, "it may still come back", serves(k))
			time.Sleep(returnTime)
			k.tick(true, false)
			lavassert.True(t, "the last list holds while the store is away", serves(k))
			k.tick(false, false)
			lavassert.True(t, "it is gone", !serves(k))
		})
	})
	t.Run("ComesBack", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			k := startKnowledge(t)
			k.apply([]lavmirror.Entry{removed(3)}, false)
			k.apply([]lavmirror.Entry{endpointEntry(4, "ready")}, false)
			time.Sleep(2 * returnTime)
			k.tick(false, false)
			lavassert.True(t, "it serves", serves(k))
		})
	})
	t.Run("EntryIsBroken", func(t *testing.T) {
		k := startKnowledge(t)
		e := endpointEntry(3, "ready")
		e.Value = []byte("{")
		k.apply([]lavmirror.Entry{e}, true)
		lavassert.True(t, "it names no endpoint", !serves(k))
	})
}

// TestSettledHostDropsAtOnce is the case of a host that hears of a removal first
// from a peer that is just back from a cut: what the peer thinks doesn't matter
// to a host that has heard the store all along.
func TestSettledHostDropsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := startKnowledge(t)
		c := &control{knowledge: k, logger: quiet}
		for range 10 {
			c.note(nil)
			time.Sleep(batchTime)
		}
		lavassert.True(t, "the host is sure", c.sure())
		peerIsSettled := false
		k.apply([]lavmirror.Entry{removed(3)}, peerIsSettled || c.sure())
		lavassert.True(t, "no new requests at once", !serves(k))
	})
}

// TestPeerIsSure is the case of a host that follows the store through others: it
// drops what it held as soon as a host that has heard the store says so.
func TestPeerIsSure(t *testing.T) {
	k := startKnowledge(t)
	k.apply([]lavmirror.Entry{removed(3)}, false)
	lavassert.True(t, "it may come back", serves(k))
	k.tick(false, true)
	lavassert.True(t, "it is gone", !serves(k))
}

func TestSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &control{logger: quiet}
		c.note(nil)
		lavassert.True(t, "settled", c.settled())
		c.note(lavstore.ErrUnavailable)
		lavassert.True(t, "settled after one failure", c.settled())
		time.Sleep(lapseTime + time.Millisecond)
		c.note(lavstore.ErrUnavailable)
		lavassert.True(t, "not settled after a long time", !c.settled())
		c.note(nil)
		lavassert.True(t, "not settled as the store is back", !c.settled())
		time.Sleep(returnTime + time.Millisecond)
		lavassert.True(t, "settled again", c.settled())
		lavassert.True(t, "not fresh without an answer for long", !c.fresh())
	})
}

func TestConfigNeverGoesBack(t *testing.T) {
	k := testKnowledge()
	k.apply([]lavmirror.Entry{standin.ConfigEntry(5, 7, "s")}, true)
	k.apply([]lavmirror.Entry{standin.ConfigEntry(4, 6, "s")}, true)
	lavassert.Equal(t, "version by an older entry", k.Index().Version(), lavconfig.Version(7))
	k.apply([]lavmirror.Entry{standin.ConfigEntry(8, 6, "s")}, true)
	lavassert.Equal(t, "older version by a newer entry", k.Index().Version(), lavconfig.Version(7))
	bad := standin.ConfigEntry(9, 8, "s")
	bad.Value = []byte("{")
	k.apply([]lavmirror.Entry{bad}, true)
	lavassert.Equal(t, "version by a broken entry", k.Index().Version(), lavconfig.Version(7))
}

func TestEvacuation(t *testing.T) {
	k := startKnowledge(t)
	k.apply([]lavmirror.Entry{standin.EvacuationEntry(3, "a", false)}, true)
	lavassert.True(t, "the failure domain is out", !serves(k))
	k.apply([]lavmirror.Entry{standin.EvacuationEntry(4, "a", true)}, true)
	lavassert.True(t, "it is back", serves(k))
}

// TestDigest checks that hosts that know the same have the same digest, however
// they came to know it, and that heartbeats don't change it.
func TestDigest(t *testing.T) {
	straight, turned := startKnowledge(t), testKnowledge()
	turned.apply([]lavmirror.Entry{endpointEntry(2, "ready")}, true)
	turned.apply([]lavmirror.Entry{standin.ConfigEntry(1, 1, "s")}, true)
	lavassert.Equal(t, "digest", turned.Digest(), straight.Digest())
	told := testKnowledge()
	told.apply(straight.Entries(), true)
	lavassert.Equal(t, "digest by what a peer gives", told.Digest(), straight.Digest())
	before := straight.Digest()
	lavassert.Equal(t, "news by a heartbeat", len(straight.apply([]lavmirror.Entry{endpointEntry(6, "ready")}, true)), 0)
	lavassert.Equal(t, "digest after a heartbeat", straight.Digest(), before)
	straight.apply([]lavmirror.Entry{endpointEntry(7, "draining")}, true)
	lavassert.True(t, "another digest after news", straight.Digest() != before)
}

func TestBelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended time.Duration
		b := newBelief(func() time.Duration { return suspended })
		lavassert.ErrorIs(t, b.Await(t.Context()), errUnsure)
		era, _ := b.check()
		lavassert.True(t, "confirmed", b.confirm(era))
		lavassert.NoError(t, b.Await(t.Context()))
		suspended += 3 * time.Second
		lavassert.ErrorIs(t, b.Await(t.Context()), errUnsure)
		lavassert.True(t, "what was asked before the freeze confirms nothing", !b.confirm(era))
		now, good := b.check()
		lavassert.True(t, "not good", !good)
		go func() {
			time.Sleep(100 * time.Millisecond)
			b.confirm(now)
		}()
		lavassert.NoError(t, b.Await(t.Context()))
	})
}

// TestStoppedProcess notices that the process didn't run, as after SIGSTOP, which
// neither clock of the machine shows.
func TestStoppedProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBelief(func() time.Duration { return 0 })
		era, _ := b.check()
		b.confirm(era)
		for range 5 {
			time.Sleep(mostBeat)
			_, good := b.check()
			lavassert.True(t, "good while it runs", good)
		}
		time.Sleep(stallBound + time.Millisecond)
		_, good := b.check()
		lavassert.True(t, "not good after a stop", !good)
	})
}

func TestDrainTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDrain(8 * time.Second)
		stream := &lavconfig.Route{Kind: lavconfig.KindStreaming, Timeout: 10 * time.Second}
		call := &lavconfig.Route{Kind: lavconfig.KindSafe, Timeout: time.Second, Objective: 300 * time.Millisecond}
		lavassert.True(t, "takes streams before", !d.tooLate(stream))
		d.begin()
		lavassert.True(t, "takes streams at first", !d.tooLate(stream))
		time.Sleep(2 * time.Second)
		lavassert.True(t, "takes streams for a while", !d.tooLate(stream))
		time.Sleep(time.Second)
		lavassert.True(t, "no streams that may outlast the grace", d.tooLate(stream))
		time.Sleep(2 * time.Second)
		lavassert.True(t, "but calls", !d.tooLate(call))
		time.Sleep(3 * time.Second)
		lavassert.True(t, "nothing at the end", d.tooLate(call))
	})
}

func TestDirectoryChoice(t *testing.T) {
	k := fmt.Sprint(choose(nil, "a"))
	lavassert.Equal(t, "nobody", k, "[]")
}
