package lavplace

// NextStage returns what each engine should hold as the next stage on the way from
// what it holds now to the target, with at most loads engines loading a model
// at a time, so that the weight store's rate is kept. A model is dropped only
// if its replicas elsewhere are enough, so that no model is ever below what it
// needs because of a move.
//
// Stages are worked out anew from what the engines report, so a step that
// failed is simply part of the next stage.
func NextStage(p *Problem, target Placement, loads int) Placement {
	stage := p.Current()
	t := newTally(p, clone(stage))
	for e := range stage {
		if p.Engines[e].Closed {
			continue
		}
		for _, m := range stage[e] {
			if !holds(target[e], m) && t.surplus(m) {
				t.remove(e, m)
			}
		}
	}
	stage = clone(t.at)
	for e := range stage {
		if loads <= 0 {
			break
		}
		if m, ok := p.firstLoad(e, stage[e], target[e]); ok {
			stage[e] = with(stage[e], m)
			loads--
		}
	}
	return stage
}

// firstLoad returns the first model of the target that an engine lacks and has
// room for now. Its drops of this stage have not been carried out yet, so what
// it holds still takes memory.
func (p *Problem) firstLoad(e int, stage, target []int) (int, bool) {
	if p.Engines[e].Closed {
		return 0, false
	}
	used := p.used(p.Engines[e].Loaded)
	for _, m := range target {
		if !holds(stage, m) && used+p.Models[m].Memory <= p.Engines[e].Memory {
			return m, true
		}
	}
	return 0, false
}
