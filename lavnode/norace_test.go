//go:build !race

package lavnode_test

const underRaceDetector = false
