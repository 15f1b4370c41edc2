package lavorder_test

import (
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavorder"
	"lavenderrack.example/lavenderrack/lavrelease"
)

func TestNextTargets(t *testing.T) {
	engine := func(name, domain string, models ...string) lavendpoint.Endpoint {
		return lavendpoint.Endpoint{
			Name: name, FailureDomain: domain, Phase: lavendpoint.PhaseReady, Heard: time.Unix(1, 0),
			Report: lavengine.LoadReport{MemoryTokens: 200, Models: models},
		}
	}
	model := func(name string, replicas int) lavrelease.Model {
		return lavrelease.Model{Name: name, MemoryTokens: 60, Replicas: replicas}
	}
	leaving := engine("a", "north", "caption")
	leaving.Phase = lavendpoint.PhaseLeaving
	for _, c := range []struct {
		name     string
		models   []lavrelease.Model
		adapters []lavrelease.Adapter
		engines  []lavendpoint.Endpoint
		loads    int
		want     string
	}{
		{"all models are where they should be", []lavrelease.Model{model("caption", 1)}, nil, []lavendpoint.Endpoint{engine("a", "north", "caption")}, 4, "[]"},
		{"a release without models gives no targets", nil, nil, []lavendpoint.Endpoint{engine("a", "north", "caption")}, 4, "[]"},
		{"a missing replica is placed in another failure domain", []lavrelease.Model{model("caption", 2)}, nil, []lavendpoint.Endpoint{
			engine("a", "north", "caption"), engine("b", "north"), engine("c", "south"),
		}, 4, "[{c [caption] []}]"},
		{"a model without a number of replicas stays, even if another model needs the memory", []lavrelease.Model{model("caption", 0), model("review", 1)}, nil, []lavendpoint.Endpoint{
			engine("a", "north", "caption"),
		}, 4, "[]"},
		{"a surplus replica is dropped one stage before another model is loaded in its place", []lavrelease.Model{model("caption", 1), model("review", 2)}, nil, []lavendpoint.Endpoint{
			engine("a", "north", "caption"), engine("b", "south", "caption"), engine("c", "south", "review"),
		}, 4, "[{a [] []}]"},
		{"a withdrawn model is dropped", []lavrelease.Model{model("caption", 1)}, nil, []lavendpoint.Endpoint{engine("a", "north", "caption", "old")}, 4, "[{a [caption] []}]"},
		{"an adapter is loaded on the engines that hold its model", []lavrelease.Model{model("caption", 1)}, []lavrelease.Adapter{{Name: "lacing", Model: "caption"}}, []lavendpoint.Endpoint{
			engine("a", "north", "caption"), engine("b", "south"),
		}, 4, "[{a [caption] [lacing]}]"},
		{"the number of engines that load at the same time is limited", []lavrelease.Model{model("caption", 3)}, nil, []lavendpoint.Endpoint{
			engine("a", "north"), engine("b", "south"), engine("c", "east"),
		}, 1, "[{a [caption] []}]"},
		{"the replica of a leaving engine doesn't count", []lavrelease.Model{model("caption", 1)}, nil, []lavendpoint.Endpoint{leaving, engine("b", "south")}, 4, "[{b [caption] []}]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := &lavrelease.State{Version: 1}
			state.Models, state.Adapters = c.models, c.adapters
			stage := lavorder.NextTargets(state, lavendpoint.NewSnapshot(1, c.engines), c.loads)
			lavassert.Equal(t, "targets", fmt.Sprint(stage), c.want)
		})
	}
}
