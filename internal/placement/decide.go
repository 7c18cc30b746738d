package placement

// Decide returns the orders that bring the slots nearer to the configuration,
// the most urgent first and at most s.Budget.
func Decide(s State) []Order {
	return nil
}
