// Package gateway serves callers: it takes OpenAI-compatible requests, has them
// placed by the leader of a cell, streams from the engine, and answers whole or
// with a numbered error.
package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/catalog"
	"github.com/tinarch/tinarch/internal/engine"
	"github.com/tinarch/tinarch/internal/openai"
	"github.com/tinarch/tinarch/internal/prefix"
	"github.com/tinarch/tinarch/internal/result"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
)

// maxPrefixBlocks bounds the prefix that is sent to a cell's leader: 128 thousand
// tokens.
const maxPrefixBlocks = 512

// exchange is one caller's request and all that was decided about it.
type exchange struct {
	endpoint     openai.Endpoint
	request      *openai.Request
	body         []byte
	tenant       *tinarchv1.Tenant
	kind         *catalog.Kind
	class        string
	revision     uint64
	cells        int
	promptTokens int
	outputTokens int
	prefix       []prefix.Hash
	received     time.Time
	deadline     time.Time
	// key identifies the caller's idempotency key with its tenant, empty where the
	// request needs no claim.
	key     string
	keyTime int64
	// attempt is the first attempt's identifier, by which logs and answers name
	// the request.
	attempt engine.Identifier
	log     logrus.FieldLogger
}

// newExchange checks a request against the configuration.
func newExchange(snapshot *catalog.Snapshot, tenant *tinarchv1.Tenant, kind *catalog.Kind, endpoint openai.Endpoint,
	request *openai.Request, received time.Time) (*exchange, error) {
	prompt := request.PromptText()
	x := &exchange{
		endpoint:     endpoint,
		request:      request,
		tenant:       tenant,
		kind:         kind,
		class:        snapshot.ClassOf(tenant, kind).GetName(),
		revision:     snapshot.Revision,
		cells:        catalog.Cells(snapshot.Pool(kind.Pool)),
		promptTokens: prefix.EstimateTokens(len(prompt)),
		outputTokens: request.OutputLimit(kind.MaxOutputTokens),
		received:     received,
		deadline:     received.Add(kind.Deadline),
		attempt:      engine.NewIdentifier(),
	}
	if x.promptTokens > kind.MaxPromptTokens {
		return nil, result.New(result.PromptTooLong, "the prompt has about %d tokens, kind %s allows %d; shorten it",
			x.promptTokens, kind.Name, kind.MaxPromptTokens)
	}
	if x.outputTokens > kind.MaxOutputTokens {
		return nil, result.New(result.OutputTooLong, "%d output tokens were asked for, kind %s allows %d; lower max_tokens",
			x.outputTokens, kind.Name, kind.MaxOutputTokens)
	}
	body, err := request.ForEngine(kind.Model, x.outputTokens)
	if err != nil {
		return nil, result.Wrap(err, result.Internal, "encoding the request for the engine")
	}
	x.body = body
	x.prefix = prefix.Chain(kind.Model+"/"+kind.Version+"/"+kind.Adapter, prompt[:min(len(prompt), maxPrefixBlocks*prefix.BlockBytes)])
	return x, nil
}

// setKey makes the request one that runs at most once under the caller's key.
func (x *exchange) setKey(key string) {
	digest := sha256.Sum256([]byte(x.tenant.GetName() + "\x00" + key))
	x.key = hex.EncodeToString(digest[:16])
	x.keyTime = uuidTime(key)
}

// digest identifies the content of the request.
func (x *exchange) digest() string {
	hash := sha256.New()
	hash.Write([]byte(x.kind.Name + "\x00" + string(x.endpoint) + "\x00"))
	hash.Write(x.body)
	return hex.EncodeToString(hash.Sum(nil)[:16])
}

// runLimit is when an answer is given up that is still being written. It lies
// within the time for which keys are remembered.
func (x *exchange) runLimit() time.Time { return x.received.Add(2 * x.kind.Deadline) }
