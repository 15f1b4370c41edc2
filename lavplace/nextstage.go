package lavplace

// NextStage returns the models that each engine should hold in the next stage of
// the transition from the current placement to target. At most maxLoading engines
// load a model in a stage, to limit the download rate from the weight store. A
// model is dropped from an engine only if its other replicas are sufficient, so
// that the transition never reduces a model below the replicas it needs.
//
// Each stage is computed from the models that the engines report as loaded. A step
// that failed is therefore retried in a later stage.
func NextStage(p *Problem, target Placement, maxLoading int) Placement {
	stage := p.CurrentPlacement()
	tracker := newCostTracker(p, clonePlacement(stage))
	for e := range stage {
		if p.Engines[e].Closed {
			continue
		}
		for _, m := range stage[e] {
			if !contains(target[e], m) && tracker.hasSurplus(m) {
				tracker.remove(e, m)
			}
		}
	}
	stage = clonePlacement(tracker.placement)
	for e := range stage {
		if maxLoading <= 0 {
			break
		}
		if m, ok := p.nextModelToLoad(e, stage[e], target[e]); ok {
			stage[e] = withModel(stage[e], m)
			maxLoading--
		}
	}
	return stage
}

// nextModelToLoad returns the first model of target that engine e lacks and has
// room for. Models that this stage drops still count as occupied memory, because
// the engine has not dropped them yet.
func (p *Problem) nextModelToLoad(e int, stage, target []int) (int, bool) {
	if p.Engines[e].Closed {
		return 0, false
	}
	occupied := p.totalMemory(p.Engines[e].Loaded)
	for _, m := range target {
		if !contains(stage, m) && occupied+p.Models[m].Memory <= p.Engines[e].Memory {
			return m, true
		}
	}
	return 0, false
}
