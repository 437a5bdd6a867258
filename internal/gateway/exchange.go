// Package gateway serves callers: it takes OpenAI-compatible requests, has the leader of a cell
// place them on engines, relays the engines' streams, and gives a whole answer or an error with
// a number.
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

// maxPrefixBlocks limits the prefix that is sent to a cell's leader to 128 thousand tokens.
const maxPrefixBlocks = 512

// exchange is a caller's request with everything that was decided about it on arrival.
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
	// key identifies the caller's idempotency key together with its tenant. It is empty if the
	// request needs no claim in the ledger.
	key     string
	keyTime int64
	// attempt is the identifier of the first attempt, which names the request in logs and
	// answers.
	attempt engine.Identifier
	log     logrus.FieldLogger
}

// newExchange checks a request against the limits of its kind and prepares it for an engine.
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

// setKey makes the request run at most once under the caller's idempotency key.
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

// runLimit is when an answer that is still being generated is given up. It is before the time
// at which the request's key is forgotten.
func (x *exchange) runLimit() time.Time { return x.received.Add(2 * x.kind.Deadline) }
