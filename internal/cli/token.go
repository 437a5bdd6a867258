package cli

import (
	"context"

	"connectrpc.com/connect"
)

// BearerToken returns an interceptor that adds an operator's token to each unary call.
func BearerToken(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			request.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, request)
		}
	})
}
