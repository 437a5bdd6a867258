// Package operator serves the operators' interface: Connect, gRPC and JSON on one
// port, as api/tinarch/v1 declares it.
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

// writeProcedures are the calls that need the write role.
var writeProcedures = map[string]bool{
	tinarchv1connect.CatalogServiceApplyProcedure: true,
	tinarchv1connect.FleetServiceDrainProcedure:   true,
}

// authenticator checks operators' tokens.
type authenticator struct {
	tokens []storedToken
	log    logrus.FieldLogger
}

type storedToken struct {
	name   string
	digest [sha256.Size]byte
	role   settings.Role
}

// NewInterceptor returns an interceptor that checks tokens, logs changes and
// gives errors their code.
func NewInterceptor(tokens []settings.Token, log logrus.FieldLogger) connect.Interceptor {
	a := &authenticator{log: log}
	for _, token := range tokens {
		stored := storedToken{name: token.Name, role: token.Role}
		_, _ = hex.Decode(stored.digest[:], []byte(token.SHA256)) // checked with the settings
		a.tokens = append(a.tokens, stored)
	}
	return a
}

// authorize returns the name of the operator that a token belongs to. Digests are
// compared in constant time, all of them.
func (a *authenticator) authorize(header, procedure string) (string, error) {
	text, found := strings.CutPrefix(header, "Bearer ")
	if !found {
		return "", result.New(result.Unauthenticated, "the operator's token is missing; set TINARCH_TOKEN or send \"Authorization: Bearer TOKEN\"")
	}
	digest := sha256.Sum256([]byte(text))
	var match *storedToken
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
		name, err := a.authorize(request.Header().Get("Authorization"), procedure)
		if err != nil {
			return nil, toConnect(err)
		}
		response, err := next(ctx, request)
		if writeProcedures[procedure] {
			a.log.WithFields(logrus.Fields{"operator": name, "procedure": procedure, "code": int(result.CodeOf(err))}).Info("operator's change")
		}
		if err != nil {
			return nil, toConnect(err)
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
			return toConnect(err)
		}
		if err := next(ctx, conn); err != nil {
			return toConnect(err)
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

// toConnect gives an error its RPC code and detail.
func toConnect(err error) error {
	var done *connect.Error
	if errors.As(err, &done) {
		return done
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
