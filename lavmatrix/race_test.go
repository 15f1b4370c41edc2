//go:build race

package lavmatrix_test

// stride selects the cells that are run: one in stride. The race detector makes
// each cell several times slower, so the full matrix runs only without it.
const stride = 30
