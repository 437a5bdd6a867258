// Package table is the client for the platform's transactional table service, which has the
// DynamoDB JSON API (Amazon DynamoDB API Reference, version 2012-08-10). It applies its own
// rate limit, deadlines and retries, and its errors tell writes that had no effect from those
// that may have had one.
package table

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/platform/httpclient"
	"github.com/tinarch/tinarch/internal/result"
)

// Errors of the table that callers compare with.
var (
	// ErrConflict means that an item did not have the expected revision. Nothing was written.
	ErrConflict = errors.New("table: an item is not at the expected revision")
	// ErrNotFound means that there is no item with the key.
	ErrNotFound = errors.New("table: no such item")
)

// Key identifies an item.
type Key struct {
	Partition string
	Sort      string
}

// Item is a stored value with its revision, which increases with each write.
type Item struct {
	Key      Key
	Revision uint64
	Value    []byte
}

// Write is one conditional write of a transaction.
type Write struct {
	Item
	// Expected is the revision that the stored item must have, or zero if there must be no such
	// item.
	Expected uint64
}

// Settings configure a Client.
type Settings struct {
	Endpoint  string
	Region    string
	Table     string
	AccessKey string
	SecretKey string
	// RequestsPerSecond is this node's share of the table's rate limit.
	RequestsPerSecond float64
	// Attempt limits the time of one try, Total that of all tries of a call together.
	Attempt time.Duration
	Total   time.Duration
}

// Defaults for settings that are zero, and the pauses between tries.
const (
	defaultRequestsPerSecond = 10
	defaultAttempt           = 2 * time.Second
	defaultTotal             = 8 * time.Second
	firstRetryPause          = 50 * time.Millisecond
	longestRetryPause        = 2 * time.Second
	burst                    = 5
)

// Client reads and writes items of the table.
type Client struct {
	settings Settings
	dynamo   *dynamodb.Client
	limiter  *rate.Limiter
}

// New returns a client. It does not connect.
func New(settings Settings) *Client {
	if settings.RequestsPerSecond <= 0 {
		settings.RequestsPerSecond = defaultRequestsPerSecond
	}
	if settings.Attempt <= 0 {
		settings.Attempt = defaultAttempt
	}
	if settings.Total <= 0 {
		settings.Total = defaultTotal
	}
	options := dynamodb.Options{
		BaseEndpoint: aws.String(settings.Endpoint),
		Region:       settings.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
		HTTPClient:   httpclient.New(settings.Attempt),
	}
	return &Client{
		settings: settings,
		dynamo:   dynamodb.New(options),
		limiter:  rate.NewLimiter(rate.Limit(settings.RequestsPerSecond), burst),
	}
}

// Attribute names of an item.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeRevision  = "rev"
	attributeValue     = "val"
)

// Get reads one item with strong consistency. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, key Key) (Item, error) {
	output, err := retry(ctx, c, func(attempt context.Context) (*dynamodb.GetItemOutput, error) {
		return c.dynamo.GetItem(attempt, &dynamodb.GetItemInput{
			TableName:      aws.String(c.settings.Table),
			Key:            keyAttributes(key),
			ConsistentRead: aws.Bool(true),
		})
	})
	if err != nil {
		return Item{}, unavailable(err, "reading %s/%s", key.Partition, key.Sort)
	}
	if len(output.Item) == 0 {
		return Item{}, ErrNotFound
	}
	return decodeItem(output.Item)
}

// Query reads at most limit items of a partition in the order of their sort keys, starting at
// the sort key from.
func (c *Client) Query(ctx context.Context, partition, from string, limit int) ([]Item, error) {
	output, err := retry(ctx, c, func(attempt context.Context) (*dynamodb.QueryOutput, error) {
		return c.dynamo.Query(attempt, &dynamodb.QueryInput{
			TableName:              aws.String(c.settings.Table),
			ConsistentRead:         aws.Bool(true),
			KeyConditionExpression: aws.String("pk = :p AND sk >= :s"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":p": &types.AttributeValueMemberS{Value: partition},
				":s": &types.AttributeValueMemberS{Value: from},
			},
			Limit: aws.Int32(int32(limit)),
		})
	})
	if err != nil {
		return nil, unavailable(err, "reading partition %s", partition)
	}
	items := make([]Item, 0, len(output.Items))
	for _, attributes := range output.Items {
		item, err := decodeItem(attributes)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

// Transact makes all writes or none. Calls with the same token and writes take effect once,
// even if the answer to one of them was lost (the service remembers its ClientRequestToken for
// ten minutes). The result is nil, ErrConflict, a TableUnavailable error, which proves that
// nothing was written, or an ApplyUnknown error. A token used before for other writes gives an
// OperationMismatch error.
func (c *Client) Transact(ctx context.Context, token string, writes []Write) error {
	items := make([]types.TransactWriteItem, len(writes))
	for i, write := range writes {
		items[i] = types.TransactWriteItem{Put: c.conditionalPut(write)}
	}
	input := &dynamodb.TransactWriteItemsInput{ClientRequestToken: aws.String(token), TransactItems: items}
	_, err := retry(ctx, c, func(attempt context.Context) (*dynamodb.TransactWriteItemsOutput, error) {
		return c.dynamo.TransactWriteItems(attempt, input)
	})
	return transactError(err)
}

func transactError(err error) error {
	if err == nil {
		return nil
	}
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) && conditionFailed(cancelled) {
		return ErrConflict
	}
	var reused *types.IdempotentParameterMismatchException
	if errors.As(err, &reused) {
		return result.New(result.OperationMismatch, "the operation id was used before for another change; use a new one")
	}
	var attempted *attemptError
	if errors.As(err, &attempted) && attempted.mayHaveApplied {
		return result.Wrap(err, result.ApplyUnknown, "the table did not say whether the write took effect")
	}
	return unavailable(err, "writing")
}

func conditionFailed(cancelled *types.TransactionCanceledException) bool {
	for _, reason := range cancelled.CancellationReasons {
		if aws.ToString(reason.Code) == "ConditionalCheckFailed" {
			return true
		}
	}
	return false
}

func (c *Client) conditionalPut(write Write) *types.Put {
	put := &types.Put{TableName: aws.String(c.settings.Table), Item: encodeItem(write.Item)}
	if write.Expected == 0 {
		put.ConditionExpression = aws.String("attribute_not_exists(pk)")
		return put
	}
	put.ConditionExpression = aws.String("rev = :r")
	put.ExpressionAttributeValues = map[string]types.AttributeValue{":r": number(write.Expected)}
	return put
}

func keyAttributes(key Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: &types.AttributeValueMemberS{Value: key.Partition},
		attributeSort:      &types.AttributeValueMemberS{Value: key.Sort},
	}
}

func number(value uint64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(value, 10)}
}

func encodeItem(item Item) map[string]types.AttributeValue {
	attributes := keyAttributes(item.Key)
	attributes[attributeRevision] = number(item.Revision)
	attributes[attributeValue] = &types.AttributeValueMemberB{Value: item.Value}
	return attributes
}

func decodeItem(attributes map[string]types.AttributeValue) (Item, error) {
	partition, ok1 := attributes[attributePartition].(*types.AttributeValueMemberS)
	sort, ok2 := attributes[attributeSort].(*types.AttributeValueMemberS)
	revision, ok3 := attributes[attributeRevision].(*types.AttributeValueMemberN)
	value, ok4 := attributes[attributeValue].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return Item{}, result.New(result.TableUnavailable, "the table holds an item that tinarch did not write; use a table of its own")
	}
	parsed, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return Item{}, result.Wrap(err, result.TableUnavailable, "the table holds the revision %q", revision.Value)
	}
	return Item{Key: Key{partition.Value, sort.Value}, Revision: parsed, Value: value.Value}, nil
}

func unavailable(err error, format string, arguments ...any) error {
	return result.Wrap(err, result.TableUnavailable, "the table service failed at "+format, arguments...)
}

// retryPolicy returns the backoff between tries.
func retryPolicy() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstRetryPause
	policy.MaxInterval = longestRetryPause
	return policy
}
