package lavhost

// maxSettlements bounds the settlements that wait for their totals. Totals come a few milliseconds
// before or after them.
const maxSettlements = 16

// settlements matches what aggregators say about grants with the totals that contain them: a
// placement must not be dropped from the account before the totals have arrived.
type settlements struct {
	// aggregator and number identify the totals that were applied last.
	aggregator string
	number     uint64
	pending    []grantTotals
}

// add returns the grants that the totals contain, if they have arrived.
func (s *settlements) add(t grantTotals) []settledGrant {
	if t.Aggregator == s.aggregator && t.Number <= s.number {
		return t.Settled
	}
	if len(s.pending) == maxSettlements {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, t)
	return nil
}

// apply returns the grants that the totals with a number contain, as far as that is known.
func (s *settlements) apply(aggregator string, number uint64) []settledGrant {
	s.aggregator, s.number = aggregator, number
	var settled []settledGrant
	var left []grantTotals
	for _, t := range s.pending {
		if t.Aggregator == aggregator && t.Number <= number {
			settled = append(settled, t.Settled...)
		} else {
			left = append(left, t)
		}
	}
	s.pending = left
	return settled
}
