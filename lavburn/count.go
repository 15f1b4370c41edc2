package lavburn

// Count holds a total number of requests and the number of good ones among them.
type Count struct {
	Good  uint64 `cbor:"1,keyasint"`
	Total uint64 `cbor:"2,keyasint"`
}

// Add returns the sum of two counts.
func (c Count) Add(other Count) Count {
	return Count{Good: c.Good + other.Good, Total: c.Total + other.Total}
}

// Max returns the field-wise maximum of two counts of the same requests. As counts
// only increase, this is the newer value of each field.
func (c Count) Max(other Count) Count {
	return Count{Good: max(c.Good, other.Good), Total: max(c.Total, other.Total)}
}

// Bad returns the number of requests that were not good.
func (c Count) Bad() uint64 { return c.Total - min(c.Good, c.Total) }

// BurnRate returns the share of bad requests divided by the error budget, which is 1
// minus the target. At a rate of 1, the budget is consumed exactly as fast as it
// accrues. The rate is 0 if there are no requests or the target leaves no budget.
func (c Count) BurnRate(target float64) float64 {
	budget := 1 - target
	if c.Total == 0 || budget <= 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total) / budget
}
