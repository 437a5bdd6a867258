// Package result defines the numbered result codes that tinarch returns to callers and
// operators and uses between its nodes. The table in this file is their only source:
// docs/ERRORS.md is generated from it.
package result

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Outcome tells whether the request that a result code is about has run.
type Outcome string

// The outcomes. DidNotRun is used only if it is proved that the request did not run.
const (
	Ran       Outcome = "ran"
	DidNotRun Outcome = "did not run"
	Unknown   Outcome = "unknown"
)

// Code is a result code. Codes are stable, and a number is never used again for another code.
type Code int

// The result codes.
const (
	OK                  Code = 0
	InvalidRequest      Code = 1001
	BodyTooLarge        Code = 1002
	Unauthenticated     Code = 1003
	PermissionDenied    Code = 1004
	UnknownKind         Code = 1005
	UnknownModel        Code = 1006
	PromptTooLong       Code = 1007
	OutputTooLong       Code = 1008
	KeyReused           Code = 1009
	NotFound            Code = 1010
	HeaderTooLarge      Code = 1011
	TenantLimit         Code = 2001
	QueueFull           Code = 2002
	DeadlineUnreachable Code = 2003
	NoEngine            Code = 2004
	Stopping            Code = 2005
	NotConfigured       Code = 2006
	LedgerUnavailable   Code = 2007
	RetriesExhausted    Code = 2008
	ConfigurationStale  Code = 2009
	TenantQuota         Code = 2010
	RequestQuarantined  Code = 2011
	WorkersUnreached    Code = 2012
	StreamVersionGone   Code = 2013
	StreamOriginUnknown Code = 2014
	OutcomeUnknown      Code = 3001
	AnswerCut           Code = 3002
	CallerGone          Code = 3003
	AnswerExpired       Code = 3004
	DeadlineExceeded    Code = 3005
	RevisionConflict    Code = 4001
	InvalidCatalog      Code = 4002
	TableUnavailable    Code = 4003
	ApplyUnknown        Code = 4004
	OperationMismatch   Code = 4005
	FenceStale          Code = 5001
	IncarnationMismatch Code = 5002
	EngineBusy          Code = 5003
	TicketRefused       Code = 5004
	Cancelled           Code = 5005
	StreamUnknown       Code = 5006
	EngineDown          Code = 5007
	NotLeader           Code = 6001
	PeerProtocol        Code = 6002
	PeerUnavailable     Code = 6003
	SettingsInvalid     Code = 7001
	UsageInvalid        Code = 7002
	Internal            Code = 9001
)

// Entry describes one code.
type Entry struct {
	Code    Code
	Name    string
	Outcome Outcome
	// Repeat tells whether it is safe to send the same request again.
	Repeat bool
	// HTTPStatus is the HTTP status in the callers' API.
	HTTPStatus int
	// RPCCode is the Connect code in the operators' API.
	RPCCode string
	Meaning string
	Action  string
}

// Table lists all codes in rising order.
var Table = []Entry{
	{OK, "ok", Ran, true, 200, "ok", "The request succeeded.", "Nothing."},
	{InvalidRequest, "invalid_request", DidNotRun, true, 400, "invalid_argument", "The request is malformed: a wrong type, an unknown field, broken UTF-8 or a missing value.", "Correct the field that the message names."},
	{BodyTooLarge, "body_too_large", DidNotRun, true, 413, "invalid_argument", "The request body exceeds the limit of the node's settings or, at a routed node (tinarchd --routed), of the configuration in the platform's store.", "Send less, or raise limits.max_body_bytes in the settings or the limit in that configuration."},
	{Unauthenticated, "unauthenticated", DidNotRun, true, 401, "unauthenticated", "The API key or operator token is missing or wrong.", "Send a valid key as a bearer token."},
	{PermissionDenied, "permission_denied", DidNotRun, true, 403, "permission_denied", "The key is valid but may not do this.", "Use a key of the right role, or allow the kind for the tenant."},
	{UnknownKind, "unknown_kind", DidNotRun, true, 404, "not_found", "The request kind is not configured.", "Use a kind that `tinarch get` lists."},
	{UnknownModel, "unknown_model", DidNotRun, true, 404, "not_found", "The model is not configured, or is not the kind's model.", "Use a model that /v1/models lists."},
	{PromptTooLong, "prompt_too_long", DidNotRun, true, 400, "invalid_argument", "The prompt is longer than the kind or the model's window allows.", "Shorten the prompt."},
	{OutputTooLong, "output_too_long", DidNotRun, true, 400, "invalid_argument", "More output tokens were asked for than the kind allows.", "Lower max_tokens."},
	{KeyReused, "key_reused", DidNotRun, false, 422, "invalid_argument", "The idempotency key was used before with another request.", "Use a new key for a new request."},
	{NotFound, "not_found", DidNotRun, true, 404, "not_found", "The named path or object does not exist.", "Check the name."},
	{HeaderTooLarge, "header_too_large", DidNotRun, true, 431, "invalid_argument", "The request's header exceeds the limit of the configuration that a routed node (tinarchd --routed) reads from the platform's store.", "Send fewer or shorter headers, or raise the limit in that configuration."},
	{TenantLimit, "tenant_limit", DidNotRun, true, 429, "resource_exhausted", "The tenant's token rate is used up.", "Come back after the Retry-After time."},
	{QueueFull, "queue_full", DidNotRun, true, 503, "resource_exhausted", "Too many requests of the class wait already, the request was shed for a higher class, or the bodies of requests take all the memory that they may at a routed node (tinarchd --routed).", "Come back after the Retry-After time."},
	{DeadlineUnreachable, "deadline_unreachable", DidNotRun, true, 503, "resource_exhausted", "The request can't be answered within its deadline now.", "Come back after the Retry-After time."},
	{NoEngine, "no_engine", DidNotRun, true, 503, "unavailable", "No healthy engine serves the model version now.", "Come back after the Retry-After time; operators see `tinarch engines`."},
	{Stopping, "stopping", DidNotRun, true, 503, "unavailable", "The node is being stopped and takes no new work.", "Connect again; another node answers."},
	{NotConfigured, "not_configured", DidNotRun, true, 503, "unavailable", "The node has no configuration yet.", "Apply one with `tinarch apply`, or wait for the node to read it."},
	{LedgerUnavailable, "ledger_unavailable", DidNotRun, true, 503, "unavailable", "A request that is not repeatable runs only after the ledger has recorded its claim, which names the attempt that runs it; the claim could not be recorded.", "Come back after the Retry-After time with the same key."},
	{RetriesExhausted, "retries_exhausted", DidNotRun, true, 503, "unavailable", "Every engine tried refused the request before running it.", "Come back after the Retry-After time."},
	{ConfigurationStale, "configuration_stale", DidNotRun, true, 503, "unavailable", "The node's configuration may be old: it has known of a newer one for some time and can't get it; or the request's route or API key is unknown to the node, and either there is a newer configuration or neither the store nor another node has confirmed the node's own lately.", "Come back after the Retry-After time; another node may answer. Operators check why the node can't reach the store or other nodes."},
	{TenantQuota, "tenant_quota", DidNotRun, true, 429, "resource_exhausted", "The tenant has used what its quota allows over all nodes together.", "Come back after the Retry-After time; operators see the log line \"over quota\"."},
	{RequestQuarantined, "request_quarantined", DidNotRun, true, 503, "failed_precondition", "Workers crashed each time they ran a request with this method, path, tenant and body, so for now it is not sent to any worker.", "Change the request, or come back after the Retry-After time. Operators see the log line \"request quarantined\" and can release it."},
	{WorkersUnreached, "workers_unreached", DidNotRun, true, 503, "unavailable", "The node reaches none of the workers that it tried, and no other node that it could ask does.", "Come back after the Retry-After time; another node may answer. Operators see the log line \"the link to a worker is lost\" and the metric tinarch_worker_links_lost."},
	{StreamVersionGone, "stream_version_gone", DidNotRun, true, 503, "failed_precondition", "The request continues a stream, and no worker is left of the service and software version that began it, or the route no longer leads there. What another version writes doesn't fit.", "Begin the stream anew, without Last-Event-Id; the same request won't succeed soon."},
	{StreamOriginUnknown, "stream_origin_unknown", DidNotRun, true, 503, "unavailable", "The request continues a stream, and no node that answers knows which service and software version began it, while several may have.", "With a Retry-After time, come back after it: another node may know. Without one, begin the stream anew, without Last-Event-Id."},
	{OutcomeUnknown, "outcome_unknown", Unknown, false, 502, "aborted", "The request may have run; its outcome can't be determined.", "Do not send it as a new request before checking its effects."},
	{AnswerCut, "answer_cut", Ran, true, 502, "aborted", "The answer broke off and could not be resumed. Returned only for repeatable kinds.", "Send the request again."},
	{CallerGone, "caller_gone", Unknown, true, 499, "canceled", "The caller left before the answer was complete.", "Nothing."},
	{AnswerExpired, "answer_expired", Ran, false, 410, "not_found", "The request ran, and its stored answer can't be read any more.", "Do not repeat the request as new."},
	{DeadlineExceeded, "deadline_exceeded", Ran, true, 504, "aborted", "The answer was incomplete after twice its deadline and was cancelled. Returned only for repeatable kinds.", "Send the request again when there is less load."},
	{RevisionConflict, "revision_conflict", DidNotRun, true, 409, "aborted", "Another change was accepted since the expected revision.", "Read the configuration again and reapply the change."},
	{InvalidCatalog, "invalid_catalog", DidNotRun, true, 422, "invalid_argument", "The configuration as a whole (the catalog) is not valid.", "Correct the objects and fields listed."},
	{TableUnavailable, "table_unavailable", DidNotRun, true, 503, "unavailable", "The table service can't be used now; nothing was changed.", "Try again later."},
	{ApplyUnknown, "apply_unknown", Unknown, true, 503, "unavailable", "The table service did not say whether the change took effect.", "Send the same operation id again; it is applied at most once."},
	{OperationMismatch, "operation_mismatch", DidNotRun, false, 409, "already_exists", "The operation id was used before for another change.", "Use a new operation id for a new change."},
	{FenceStale, "fence_stale", DidNotRun, true, 409, "failed_precondition", "The order's fence (fencing token, higher for each new leader) is lower than one the engine has seen.", "None: a newer leader has taken over."},
	{IncarnationMismatch, "incarnation_mismatch", DidNotRun, true, 409, "failed_precondition", "The message is meant for another incarnation of the engine, that is, another start of its process.", "None: the engine restarted; its leader takes it over again with an order (called a claim too, but not one of the ledger)."},
	{EngineBusy, "engine_busy", DidNotRun, true, 409, "failed_precondition", "The engine carries out another order, or runs requests that the order would cut.", "None: the order is tried again."},
	{TicketRefused, "ticket_refused", DidNotRun, true, 409, "failed_precondition", "The engine has another role or model version than the ticket (the leader's permission to run one attempt on this engine) names, or is draining.", "None: the request is placed again."},
	{Cancelled, "cancelled", Unknown, true, 409, "canceled", "The attempt (one run of the request, at one engine) was cancelled at the engine.", "None."},
	{StreamUnknown, "stream_unknown", Unknown, true, 404, "not_found", "The engine does not know the stream.", "None: the gateway decides from the request's claim in the ledger."},
	{EngineDown, "engine_down", Unknown, true, 503, "unavailable", "The engine did not answer.", "Operators see `tinarch engines`."},
	{NotLeader, "not_leader", DidNotRun, true, 503, "unavailable", "The node does not lead the replica group concerned: a cell, which places requests on engines, or a ledger group.", "None: the request goes to the leader."},
	{PeerProtocol, "peer_protocol", DidNotRun, true, 400, "invalid_argument", "A peer sent a malformed or oversize line, or belongs to another cluster.", "Check cluster_id and versions."},
	{PeerUnavailable, "peer_unavailable", Unknown, true, 503, "unavailable", "Another node did not answer in time; printed by the command line: the call to the node failed without a result code.", "Operators see `tinarch status`, and check --server if the command line printed it."},
	{SettingsInvalid, "settings_invalid", DidNotRun, true, 400, "invalid_argument", "The settings file, a flag or an environment variable is wrong.", "Correct the line and key that the message names."},
	{UsageInvalid, "usage_invalid", DidNotRun, true, 400, "invalid_argument", "The command line is wrong.", "See --help."},
	{Internal, "internal", Unknown, false, 500, "internal", "A fault of tinarch itself.", "Report it with the attempt id."},
}

var byCode = func() map[Code]Entry {
	entries := make(map[Code]Entry, len(Table))
	for _, entry := range Table {
		entries[entry.Code] = entry
	}
	return entries
}()

// Entry returns the table entry of the code, or that of Internal if the code is not in the
// table.
func (c Code) Entry() Entry {
	if entry, ok := byCode[c]; ok {
		return entry
	}
	return byCode[Internal]
}

// String returns the code's number and name, for instance "2001 tenant_limit".
func (c Code) String() string { return fmt.Sprintf("%d %s", int(c), c.Entry().Name) }

// ExitStatus returns the process exit status for the code: 0 for OK, and otherwise the
// thousands digit of the code.
func (c Code) ExitStatus() int { return int(c) / 1000 }

// Error is an error with a result code. It is sent between processes as JSON.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// RetryAfterMillis is the time in milliseconds after which to try again; zero means that
	// none is given.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Revision is the configuration revision in force, for RevisionConflict.
	Revision uint64 `json:"revision,omitempty"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("[%s] %s", e.Code, e.Message) }

// WithRetryAfter returns a copy of e with the time after which to try again.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	changed := *e
	changed.RetryAfterMillis = max(after.Milliseconds(), 1)
	return &changed
}

// New returns an error with the code and a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error with the code and with a message that ends with the cause. It also has
// a stack trace, for logs.
func Wrap(cause error, code Code, format string, arguments ...any) error {
	return eris.Wrap(New(code, format+": %v", append(arguments, cause)...), code.Entry().Name)
}

// From returns the first Error in err's chain. For any other error it returns one with the code
// Internal.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// CodeOf returns the code of err: OK for nil, Internal for an error without a code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}

// Markdown renders the table for docs/ERRORS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString("# Result codes\n\nGenerated from `internal/result`; run `go generate ./internal/result` after a change.\n\n")
	out.WriteString("\"Did not run\" is only said on proof. \"Repeat\" tells whether sending the same request again is safe. ")
	out.WriteString("Commands exit with the code's thousands digit, 0 for success.\n\n")
	out.WriteString("| Code | Name | Outcome | Repeat | HTTP | RPC | Meaning | What to do |\n|---|---|---|---|---|---|---|---|\n")
	for _, entry := range Table {
		repeat := "no"
		if entry.Repeat {
			repeat = "yes"
		}
		fmt.Fprintf(&out, "| %d | `%s` | %s | %s | %d | `%s` | %s | %s |\n",
			entry.Code, entry.Name, entry.Outcome, repeat, entry.HTTPStatus, entry.RPCCode, entry.Meaning, entry.Action)
	}
	return out.String()
}
