// Package operator implements the API for operators, as api/tinarch/v1 declares it. One port
// serves it over Connect, gRPC and JSON.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/api/tinarch/v1/tinarchv1connect"
	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/result"
	"github.com/tinarch/tinarch/internal/settings"

	"errors"
)

// writeProcedures are the calls for which a token needs the write role.
var writeProcedures = map[string]bool{
	tinarchv1connect.CatalogServiceApplyProcedure: true,
	tinarchv1connect.FleetServiceDrainProcedure:   true,
}

// authenticator is an interceptor that checks the tokens of operators.
type authenticator struct {
	tokens []operatorToken
	log    logrus.FieldLogger
}

type operatorToken struct {
	name   string
	digest [sha256.Size]byte
	role   settings.Role
}

// NewInterceptor returns an interceptor that checks operators' tokens, logs calls that change
// something, and gives errors their Connect code.
func NewInterceptor(tokens []settings.Token, log logrus.FieldLogger) connect.Interceptor {
	a := &authenticator{log: log}
	for _, token := range tokens {
		stored := operatorToken{name: token.Name, role: token.Role}
		_, _ = hex.Decode(stored.digest[:], []byte(token.SHA256)) // validated with the settings
		a.tokens = append(a.tokens, stored)
	}
	return a
}

// authorize returns the name of the operator whose token is in the Authorization header, or an
// error if there is none or its role does not permit the procedure. It compares all digests,
// each in constant time, so that the response time reveals nothing about them.
func (a *authenticator) authorize(header, procedure string) (string, error) {
	text, found := strings.CutPrefix(header, "Bearer ")
	if !found {
		return "", result.New(result.Unauthenticated, "the operator's token is missing; set TINARCH_TOKEN or send \"Authorization: Bearer TOKEN\"")
	}
	digest := sha256.Sum256([]byte(text))
	var match *operatorToken
	for i := range a.tokens {
		if subtle.ConstantTimeCompare(a.tokens[i].digest[:], digest[:]) == 1 {
			match = &a.tokens[i]
		}
	}
	if match == nil {
		return "", result.New(result.Unauthenticated, "the operator's token is not known at this node")
	}
	if writeProcedures[procedure] && match.role != settings.RoleWrite {
		return "", result.New(result.PermissionDenied, "token %s may only read; use one with the write role", match.name)
	}
	return match.name, nil
}

// WrapUnary implements connect.Interceptor.
func (a *authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		procedure := request.Spec().Procedure
		operator, err := a.authorize(request.Header().Get("Authorization"), procedure)
		if err != nil {
			return nil, toConnectError(err)
		}
		response, err := next(ctx, request)
		if writeProcedures[procedure] {
			a.log.WithFields(logrus.Fields{"operator": operator, "procedure": procedure, "code": int(result.CodeOf(err))}).Info("operator called a procedure that changes state")
		}
		if err != nil {
			return nil, toConnectError(err)
		}
		return response, nil
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authenticator) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		if _, err := a.authorize(conn.RequestHeader().Get("Authorization"), conn.Spec().Procedure); err != nil {
			return toConnectError(err)
		}
		if err := next(ctx, conn); err != nil {
			return toConnectError(err)
		}
		return nil
	}
}

var connectCodes = map[string]connect.Code{
	"invalid_argument":    connect.CodeInvalidArgument,
	"not_found":           connect.CodeNotFound,
	"already_exists":      connect.CodeAlreadyExists,
	"permission_denied":   connect.CodePermissionDenied,
	"unauthenticated":     connect.CodeUnauthenticated,
	"resource_exhausted":  connect.CodeResourceExhausted,
	"failed_precondition": connect.CodeFailedPrecondition,
	"aborted":             connect.CodeAborted,
	"unavailable":         connect.CodeUnavailable,
	"canceled":            connect.CodeCanceled,
	"internal":            connect.CodeInternal,
}

// toConnectError converts an error to a Connect error with the RPC code and the details of its
// result code.
func toConnectError(err error) error {
	var connectErr *connect.Error
	if errors.As(err, &connectErr) {
		return connectErr
	}
	failure := result.From(err)
	entry := failure.Code.Entry()
	converted := connect.NewError(connectCodes[entry.RPCCode], errors.New(failure.Message))
	detail := &tinarchv1.ErrorDetail{Code: uint32(entry.Code), Name: entry.Name, CurrentRevision: failure.Revision}
	var violations catalog.Violations
	if errors.As(err, &violations) {
		detail.Violations = violations
	}
	if attached, attachErr := connect.NewErrorDetail(detail); attachErr == nil {
		converted.AddDetail(attached)
	}
	return converted
}
