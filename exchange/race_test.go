//go:build race

package exchange

// The race detector makes the tests ten times slower, so the simulations are
// smaller. CI also runs the package without it.
const (
	testSeeds = 1
	testSmall = 30
	testLarge = 120
)
