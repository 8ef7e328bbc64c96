package call

// StatusError is an error that has its own HTTP status.
type StatusError struct {
	Status int
	Text   string
}

// Error returns what was wrong and what to do.
func (failure *StatusError) Error() string { return failure.Text }
