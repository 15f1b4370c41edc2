package lavfake

import (
	"slices"
	"time"
)

// startStepLoop starts the batch loop if it is not running. The loop stops when
// the batch is empty, so that an idle engine uses no CPU time.
func (e *Engine) startStepLoop() {
	if e.stepLoopRunning || e.closed {
		return
	}
	e.stepLoopRunning = true
	e.stepLoop.Go(e.runStepLoop)
}

// Close aborts all streams and waits for the batch loop to stop.
func (e *Engine) Close() {
	e.mu.Lock()
	for id := range e.streams {
		e.removeStream(id)
	}
	if !e.closed {
		e.closed = true
		close(e.stop)
	}
	e.mu.Unlock()
	e.stepLoop.Wait()
}

// runStepLoop runs batch iterations until the batch is empty or the engine is
// closed.
func (e *Engine) runStepLoop() {
	ticker := time.NewTicker(e.settings.Step)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
		}
		if !e.step() {
			return
		}
	}
}

// step runs one batch iteration: it prefills prompts and decodes answer tokens.
// It returns true if streams remain in the batch.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefillBudget := int(e.settings.PrefillRate * e.settings.Step.Seconds())
	e.decodeRemainder += e.settings.DecodeRate * e.settings.Step.Seconds()
	decodeTokens := int(e.decodeRemainder)
	e.decodeRemainder -= float64(decodeTokens)
	for _, s := range e.batch {
		prefillBudget -= e.prefillStream(s, prefillBudget)
		if s.prefillLeft == 0 && decodeTokens > 0 {
			s.advanceAnswer(decodeTokens)
		}
	}
	now := time.Now()
	e.batch = slices.DeleteFunc(e.batch, func(s *stream) bool {
		if s.done() {
			s.endedAt = now
		}
		return s.done()
	})
	e.stepLoopRunning = len(e.batch) > 0
	return e.stepLoopRunning
}

// prefillStream prefills at most budget tokens of a prompt and returns the
// number of tokens that it prefilled. When the prefill is complete, it adds the
// prompt to the prefix cache.
func (e *Engine) prefillStream(s *stream, budget int) int {
	if s.prefillLeft == 0 {
		return 0
	}
	tokens := min(budget, s.prefillLeft)
	s.prefillLeft -= tokens
	if s.prefillLeft == 0 {
		e.cache.insert(e.incarnation, s.prefixes)
		s.notify()
	}
	return tokens
}
