package call

// StatusError is an error that determines the HTTP status of the response.
type StatusError struct {
	Status int
	// Text says what was wrong and what to do.
	Text string
}

// Error returns the text.
func (failure *StatusError) Error() string { return failure.Text }
