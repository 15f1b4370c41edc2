package lavretry_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavretry"
)

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newRun(id, endpoint string) lavretry.Run {
	return lavretry.Run{ID: id, Fingerprint: 1, Endpoint: endpoint, Until: baseTime.Add(time.Minute)}
}

func newDeath(endpoint string) lavretry.Death {
	return lavretry.Death{Fingerprint: 1, Endpoint: endpoint, Incarnation: "i", At: baseTime}
}

func assertBegin(t *testing.T, g *lavretry.Guard, at time.Duration, r lavretry.Run, want lavretry.Action) {
	t.Helper()
	lavassert.Equal(t, "action of "+r.ID+" at "+r.Endpoint, g.Begin(baseTime.Add(at), r).Action, want)
}

func TestGuard(t *testing.T) {
	t.Run("at most two endpoints are at risk at a time", func(t *testing.T) {
		g := lavretry.NewGuard()
		assertBegin(t, g, 0, newRun("1", "a"), lavretry.ActionGo)
		assertBegin(t, g, 0, newRun("1", "a"), lavretry.ActionGo)
		assertBegin(t, g, 0, newRun("2", "a"), lavretry.ActionWait)
		assertBegin(t, g, 0, newRun("2", "b"), lavretry.ActionGo)
		assertBegin(t, g, 0, newRun("3", "c"), lavretry.ActionWait)
		g.End(baseTime, newRun("2", "b"), false)
		assertBegin(t, g, 0, newRun("3", "c"), lavretry.ActionGo)
	})
	t.Run("a suspect runs at one endpoint at a time until a run succeeds", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(baseTime, newDeath("a"))
		assertBegin(t, g, 0, newRun("1", "b"), lavretry.ActionAlone)
		assertBegin(t, g, 0, newRun("2", "c"), lavretry.ActionWait)
		g.End(baseTime, newRun("1", "b"), true)
		for i := range 9 {
			assertBegin(t, g, 0, newRun(fmt.Sprint("later", i), fmt.Sprint("e", i)), lavretry.ActionGo)
		}
	})
	t.Run("a death reported twice counts once", func(t *testing.T) {
		g := lavretry.NewGuard()
		lavassert.Equal(t, "deaths", g.RecordDeath(baseTime, newDeath("a")), 1)
		lavassert.Equal(t, "deaths", g.RecordDeath(baseTime, newDeath("a")), 1)
		assertBegin(t, g, 0, newRun("1", "b"), lavretry.ActionAlone)
	})
	t.Run("the second death causes a quarantine that a successful run doesn't end", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(baseTime, newDeath("a"))
		g.RecordDeath(baseTime, newDeath("b"))
		g.End(baseTime, newRun("1", "c"), true)
		assertBegin(t, g, time.Hour, newRun("2", "d"), lavretry.ActionRefuse)
		assertBegin(t, g, lavretry.QuarantineDuration, newRun("2", "d"), lavretry.ActionGo)
	})
	t.Run("a death with a reported count of two causes a quarantine", func(t *testing.T) {
		// A host that has just started may have missed the first death.
		g := lavretry.NewGuard()
		d := newDeath("b")
		d.Count = 2
		g.RecordReportedDeath(baseTime, d)
		assertBegin(t, g, 0, newRun("1", "c"), lavretry.ActionRefuse)
		g.RecordReportedDeath(baseTime, newDeath("a"))
		assertBegin(t, g, 0, newRun("1", "c"), lavretry.ActionRefuse)
	})
	t.Run("a run without End counts until its Until time", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(baseTime, newDeath("a"))
		assertBegin(t, g, 0, newRun("1", "b"), lavretry.ActionAlone)
		assertBegin(t, g, time.Minute, newRun("2", "c"), lavretry.ActionWait)
		assertBegin(t, g, time.Minute+1, newRun("2", "c"), lavretry.ActionAlone)
	})
	t.Run("deaths restored from the store", func(t *testing.T) {
		for _, c := range []struct {
			name  string
			age   time.Duration
			count int
			want  lavretry.Action
		}{
			{"a recent death", time.Minute, 1, lavretry.ActionAlone},
			{"an old death", 2 * time.Hour, 1, lavretry.ActionGo},
			{"an old second death", 2 * time.Hour, 2, lavretry.ActionRefuse},
			{"a quarantine that has ended", 25 * time.Hour, 2, lavretry.ActionGo},
		} {
			g := lavretry.NewGuard()
			d := newDeath("a")
			d.Count = c.count
			g.RestoreDeath(baseTime.Add(c.age), d)
			lavassert.Equal(t, c.name, g.Check(baseTime.Add(c.age), 1).Action, c.want)
		}
	})
	t.Run("a death from before the fingerprint was cleared isn't restored", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.End(baseTime.Add(time.Second), newRun("1", "a"), true)
		g.RestoreDeath(baseTime.Add(2*time.Second), newDeath("a"))
		lavassert.Equal(t, "action", g.Check(baseTime.Add(2*time.Second), 1).Action, lavretry.ActionGo)
	})
	t.Run("merging the records of another guard twice adds them once", func(t *testing.T) {
		source := lavretry.NewGuard()
		assertBegin(t, source, 0, newRun("1", "a"), lavretry.ActionGo)
		source.RecordDeath(baseTime, newDeath("b"))
		g := lavretry.NewGuard()
		for range 2 {
			for _, record := range source.Records(baseTime) {
				g.Merge(baseTime, record)
			}
		}
		assertBegin(t, g, 0, newRun("2", "c"), lavretry.ActionWait)
		g.End(baseTime, newRun("1", "a"), false)
		assertBegin(t, g, 0, newRun("2", "c"), lavretry.ActionAlone)
	})
	t.Run("records from before the fingerprint was cleared aren't merged", func(t *testing.T) {
		source := lavretry.NewGuard()
		assertBegin(t, source, 0, newRun("1", "a"), lavretry.ActionGo)
		source.RecordDeath(baseTime, newDeath("b"))
		g := lavretry.NewGuard()
		g.End(baseTime.Add(time.Second), newRun("2", "c"), true)
		for _, record := range source.Records(baseTime) {
			g.Merge(baseTime.Add(time.Second), record)
		}
		assertBegin(t, g, time.Second, newRun("3", "d"), lavretry.ActionGo)
	})
	t.Run("the number of entries is bounded and entries with deaths are evicted last", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(baseTime, newDeath("a"))
		for i := range 1 << 17 {
			r := newRun(fmt.Sprint(i), "a")
			r.Fingerprint = uint64(i + 2)
			g.Begin(baseTime.Add(time.Duration(i)*time.Microsecond), r)
		}
		lavassert.AtMost(t, "fingerprints", g.Len(), 1<<16)
		assertBegin(t, g, time.Second, newRun("1", "b"), lavretry.ActionAlone)
	})
}
