//go:build !race

package lavmatrix_test

// stride selects the cells that are run: one in stride.
const stride = 1
