package duty

import "errors"

// unansweredError is the error of a call that the platform's API didn't answer.
type unansweredError struct{ cause error }

// Unanswered returns the error of a call that wasn't answered, given its cause.
func Unanswered(cause error) error { return unansweredError{cause} }

// Error implements error.
func (e unansweredError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e unansweredError) Unwrap() error { return e.cause }

// IsUnanswered reports whether a call failed because it wasn't answered.
func IsUnanswered(err error) bool {
	var failure unansweredError
	return errors.As(err, &failure)
}
