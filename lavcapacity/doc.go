// Package lavcapacity measures the cost of the components as the fleet grows,
// and extrapolates it to the size that the system is designed for.
//
// A measurement yields Points, each a cost at a size. Fit fits a line through
// the points, and docs/CAPACITY.md reports the cost that the line gives at the
// design size. The measurements are tests of the package:
//
//	go test ./lavcapacity -run Slope -v -args -full
package lavcapacity
