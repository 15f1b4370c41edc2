package lavretry_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavretry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func run(id, endpoint string) lavretry.Run {
	return lavretry.Run{ID: id, Fingerprint: 1, Endpoint: endpoint, Until: start.Add(time.Minute)}
}

func death(endpoint string) lavretry.Death {
	return lavretry.Death{Fingerprint: 1, Endpoint: endpoint, Incarnation: "i", At: start}
}

func begin(t *testing.T, g *lavretry.Guard, at time.Duration, r lavretry.Run, want lavretry.Action) {
	t.Helper()
	lavassert.Equal(t, "action of "+r.ID+" at "+r.Endpoint, g.Begin(start.Add(at), r).Action, want)
}

func TestGuard(t *testing.T) {
	t.Run("at most two lives of endpoints are at risk at a time", func(t *testing.T) {
		g := lavretry.NewGuard()
		begin(t, g, 0, run("1", "a"), lavretry.ActionGo)
		begin(t, g, 0, run("1", "a"), lavretry.ActionGo)
		begin(t, g, 0, run("2", "a"), lavretry.ActionWait)
		begin(t, g, 0, run("2", "b"), lavretry.ActionGo)
		begin(t, g, 0, run("3", "c"), lavretry.ActionWait)
		g.End(start, run("2", "b"), false)
		begin(t, g, 0, run("3", "c"), lavretry.ActionGo)
	})
	t.Run("a suspect runs at one endpoint until it ends well", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(start, death("a"))
		begin(t, g, 0, run("1", "b"), lavretry.ActionAlone)
		begin(t, g, 0, run("2", "c"), lavretry.ActionWait)
		g.End(start, run("1", "b"), true)
		for i := range 9 {
			begin(t, g, 0, run(fmt.Sprint("later", i), fmt.Sprint("e", i)), lavretry.ActionGo)
		}
	})
	t.Run("one death told twice counts once", func(t *testing.T) {
		g := lavretry.NewGuard()
		lavassert.Equal(t, "deaths", g.RecordDeath(start, death("a")), 1)
		lavassert.Equal(t, "deaths", g.RecordDeath(start, death("a")), 1)
		begin(t, g, 0, run("1", "b"), lavretry.ActionAlone)
	})
	t.Run("the second death is quarantined, and no good end lifts it", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(start, death("a"))
		g.RecordDeath(start, death("b"))
		g.End(start, run("1", "c"), true)
		begin(t, g, time.Hour, run("2", "d"), lavretry.ActionRefuse)
		begin(t, g, lavretry.QuarantineTime, run("2", "d"), lavretry.ActionGo)
	})
	t.Run("a death that is told as the second one is the second", func(t *testing.T) {
		// A host that has just started may have missed the first.
		g := lavretry.NewGuard()
		d := death("b")
		d.Count = 2
		g.Hear(start, d)
		begin(t, g, 0, run("1", "c"), lavretry.ActionRefuse)
		g.Hear(start, death("a"))
		begin(t, g, 0, run("1", "c"), lavretry.ActionRefuse)
	})
	t.Run("a run that is never ended counts until its time", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(start, death("a"))
		begin(t, g, 0, run("1", "b"), lavretry.ActionAlone)
		begin(t, g, time.Minute, run("2", "c"), lavretry.ActionWait)
		begin(t, g, time.Minute+1, run("2", "c"), lavretry.ActionAlone)
	})
	t.Run("what is remembered from the store", func(t *testing.T) {
		for _, c := range []struct {
			name  string
			age   time.Duration
			count int
			want  lavretry.Action
		}{
			{"a fresh death", time.Minute, 1, lavretry.ActionAlone},
			{"an old death", 2 * time.Hour, 1, lavretry.ActionGo},
			{"an old second death", 2 * time.Hour, 2, lavretry.ActionRefuse},
			{"a quarantine that is over", 25 * time.Hour, 2, lavretry.ActionGo},
		} {
			g := lavretry.NewGuard()
			d := death("a")
			d.Count = c.count
			g.Remember(start.Add(c.age), d)
			lavassert.Equal(t, c.name, g.Check(start.Add(c.age), 1).Action, c.want)
		}
	})
	t.Run("a death before the clearing is not remembered", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.End(start.Add(time.Second), run("1", "a"), true)
		g.Remember(start.Add(2*time.Second), death("a"))
		lavassert.Equal(t, "action", g.Check(start.Add(2*time.Second), 1).Action, lavretry.ActionGo)
	})
	t.Run("what another guard knows is added once", func(t *testing.T) {
		of := lavretry.NewGuard()
		begin(t, of, 0, run("1", "a"), lavretry.ActionGo)
		of.RecordDeath(start, death("b"))
		g := lavretry.NewGuard()
		for range 2 {
			for _, k := range of.Known(start) {
				g.Take(start, k)
			}
		}
		begin(t, g, 0, run("2", "c"), lavretry.ActionWait)
		g.End(start, run("1", "a"), false)
		begin(t, g, 0, run("2", "c"), lavretry.ActionAlone)
	})
	t.Run("what is known of a fingerprint that was cleared since is not added", func(t *testing.T) {
		of := lavretry.NewGuard()
		begin(t, of, 0, run("1", "a"), lavretry.ActionGo)
		of.RecordDeath(start, death("b"))
		g := lavretry.NewGuard()
		g.End(start.Add(time.Second), run("2", "c"), true)
		for _, k := range of.Known(start) {
			g.Take(start.Add(time.Second), k)
		}
		begin(t, g, time.Second, run("3", "d"), lavretry.ActionGo)
	})
	t.Run("memory is bounded and deaths outlast the rest", func(t *testing.T) {
		g := lavretry.NewGuard()
		g.RecordDeath(start, death("a"))
		for i := range 1 << 17 {
			r := run(fmt.Sprint(i), "a")
			r.Fingerprint = uint64(i + 2)
			g.Begin(start.Add(time.Duration(i)*time.Microsecond), r)
		}
		lavassert.AtMost(t, "fingerprints", g.Len(), 1<<16)
		begin(t, g, time.Second, run("1", "b"), lavretry.ActionAlone)
	})
}
