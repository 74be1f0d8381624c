//go:build !race

package exchange

const (
	testSeeds = 2
	testSmall = 68
	testLarge = 300
)
