package loadtest

import "math"

// zipf is the weight of the object of a rank, from 0.
func zipf(rank int) float64 { return math.Pow(float64(rank+1), -zipfExponent) }
