package table

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/cenkalti/backoff/v5"
)

// attemptError is the last error of a call that was tried several times.
type attemptError struct {
	cause error
	// mayHaveApplied means that at least one try may have reached the service, without an
	// answer that proves that it had no effect.
	mayHaveApplied bool
}

func (e *attemptError) Error() string { return e.cause.Error() }
func (e *attemptError) Unwrap() error { return e.cause }

// retry repeats a call until it succeeds, fails with a final error, or Settings.Total is over.
// Each try waits for the rate limiter.
func retry[Output any](ctx context.Context, c *Client, call func(context.Context) (Output, error)) (Output, error) {
	total, cancel := context.WithTimeout(ctx, c.settings.Total)
	defer cancel()
	mayHaveApplied := false
	output, err := backoff.Retry(total, func() (Output, error) {
		var none Output
		if err := c.limiter.Wait(total); err != nil {
			return none, backoff.Permanent(err)
		}
		attempt, cancelAttempt := context.WithTimeout(total, c.settings.Attempt)
		defer cancelAttempt()
		output, err := call(attempt)
		if err == nil {
			return output, nil
		}
		if final(err) {
			return none, backoff.Permanent(err)
		}
		mayHaveApplied = mayHaveApplied || !notExecuted(err)
		return none, err
	}, backoff.WithBackOff(retryPolicy()))
	if err == nil {
		return output, nil
	}
	return output, &attemptError{cause: err, mayHaveApplied: mayHaveApplied && !final(err)}
}

// final reports whether the error is the service's final answer, so that trying again can't
// help.
func final(err error) bool {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return conditionFailed(cancelled)
	}
	var mismatch *types.IdempotentParameterMismatchException
	var missing *types.ResourceNotFoundException
	if errors.As(err, &mismatch) || errors.As(err, &missing) {
		return true
	}
	var api smithy.APIError
	return errors.As(err, &api) && api.ErrorCode() == "ValidationException"
}

// notExecuted reports whether the error proves that the try had no effect, because it was
// throttled, its transaction was cancelled, or no connection was made.
func notExecuted(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return true
	}
	var api smithy.APIError
	if !errors.As(err, &api) {
		return false
	}
	switch api.ErrorCode() {
	case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded",
		"TransactionCanceledException", "TransactionConflictException":
		return true
	}
	return false
}
