package table

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"github.com/tinarch/tinarch/internal/result"
)

// TestCallsThatRunOutOfTime: a call whose time ends between two tries wrote nothing if every try was throttled. One
// whose time ends within a try may have written.
func TestCallsThatRunOutOfTime(t *testing.T) {
	throttled := func(context.Context) (int, error) { return 0, &types.ProvisionedThroughputExceededException{} }
	unanswered := func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	tests := []struct {
		name string
		try  func(number int) func(context.Context) (int, error)
		want result.Code
	}{
		{"between tries", func(int) func(context.Context) (int, error) { return throttled }, result.TableUnavailable},
		{"within the first try", func(int) func(context.Context) (int, error) { return unanswered }, result.ApplyUnknown},
		{"within a later try", func(number int) func(context.Context) (int, error) {
			if number == 1 {
				return throttled
			}
			return unanswered
		}, result.ApplyUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := New(Settings{Endpoint: "http://127.0.0.1:1", Region: "local", RequestsPerSecond: 1000, Total: 300 * time.Millisecond})
				begun, tries := time.Now(), 0
				_, err := retry(t.Context(), client, func(ctx context.Context) (int, error) {
					tries++
					return test.try(tries)(ctx)
				})
				if code := result.CodeOf(transactError(err)); code != test.want {
					t.Errorf("%v after %d tries, want %v", err, tries, test.want)
				}
				if took := time.Since(begun); took > 300*time.Millisecond {
					t.Errorf("the call took %v", took)
				}
			})
		})
	}
}
