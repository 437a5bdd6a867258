package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Table is a fake of the table service.
type Table struct {
	*service
	faultState
	mu    sync.Mutex
	items map[string]map[string]attributes // partition, sort key
	// tokens maps the ClientRequestToken of each applied transaction to its items as JSON. A
	// transaction that is sent again is not applied again.
	tokens map[string]string
}

// attributes is an item in the JSON form of DynamoDB: attribute name, then type, then value.
type attributes map[string]map[string]string

// StartTable serves a table at the address.
func StartTable(address string) (*Table, error) {
	t := &Table{items: map[string]map[string]attributes{}, tokens: map[string]string{}}
	server, err := startService(address, http.HandlerFunc(t.serve))
	t.service = server
	return t, err
}

const (
	dynamoTarget      = "DynamoDB_20120810."
	dynamoErrorPrefix = "com.amazonaws.dynamodb.v20120810#"
)

type dynamoError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

type cancelReason struct {
	Code string `json:"Code"`
}

type tableRequest struct {
	Key           attributes         `json:"Key"`
	Values        attributes         `json:"ExpressionAttributeValues"`
	Limit         int                `json:"Limit"`
	Token         string             `json:"ClientRequestToken"`
	TransactItems []transactionEntry `json:"TransactItems"`
}

type transactionEntry struct {
	Put *putEntry `json:"Put"`
}

type putEntry struct {
	Item      attributes `json:"Item"`
	Condition string     `json:"ConditionExpression"`
	Values    attributes `json:"ExpressionAttributeValues"`
}

func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	if t.beforeRequest() {
		writeDynamoError(w, dynamoError{Type: "ProvisionedThroughputExceededException", Message: "throttled"})
		return
	}
	var request tableRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeDynamoError(w, dynamoError{Type: "ValidationException", Message: err.Error()})
		return
	}
	switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), dynamoTarget) {
	case "GetItem":
		t.get(w, request)
	case "Query":
		t.query(w, request)
	case "TransactWriteItems":
		t.transact(w, request)
	default:
		writeDynamoError(w, dynamoError{Type: "ValidationException", Message: "operation not supported by this stand-in"})
	}
}

func writeDynamoReply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(value)
}

func writeDynamoError(w http.ResponseWriter, failure dynamoError) {
	failure.Type = dynamoErrorPrefix + failure.Type
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(failure)
}

func (t *Table) get(w http.ResponseWriter, request tableRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	item := t.items[request.Key["pk"]["S"]][request.Key["sk"]["S"]]
	if item == nil {
		writeDynamoReply(w, struct{}{})
		return
	}
	writeDynamoReply(w, struct{ Item attributes }{item})
}

func (t *Table) query(w http.ResponseWriter, request tableRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	partition := t.items[request.Values[":p"]["S"]]
	var keys []string
	for key := range partition {
		if key >= request.Values[":s"]["S"] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	if request.Limit > 0 && len(keys) > request.Limit {
		keys = keys[:request.Limit]
	}
	found := make([]attributes, 0, len(keys))
	for _, key := range keys {
		found = append(found, partition[key])
	}
	writeDynamoReply(w, struct {
		Items []attributes
		Count int
	}{found, len(found)})
}

func (t *Table) transact(w http.ResponseWriter, request tableRequest) {
	t.mu.Lock()
	failure := t.apply(request)
	t.mu.Unlock()
	if failure != nil {
		writeDynamoError(w, *failure)
		return
	}
	t.afterWrite()
	writeDynamoReply(w, struct{}{})
}

func (t *Table) apply(request tableRequest) *dynamoError {
	fingerprint, _ := json.Marshal(request.TransactItems)
	if earlier, seen := t.tokens[request.Token]; seen && request.Token != "" {
		if earlier != string(fingerprint) {
			return &dynamoError{Type: "IdempotentParameterMismatchException", Message: "the token was used for another transaction"}
		}
		return nil
	}
	reasons := make([]cancelReason, len(request.TransactItems))
	failed := false
	for i, entry := range request.TransactItems {
		reasons[i].Code = "None"
		if entry.Put == nil || !t.conditionHolds(entry.Put) {
			reasons[i].Code = "ConditionalCheckFailed"
			failed = true
		}
	}
	if failed {
		return &dynamoError{Type: "TransactionCanceledException", Message: "the transaction was cancelled", Reasons: reasons}
	}
	for _, entry := range request.TransactItems {
		t.put(entry.Put.Item)
	}
	t.tokens[request.Token] = string(fingerprint)
	return nil
}

func (t *Table) conditionHolds(put *putEntry) bool {
	stored := t.items[put.Item["pk"]["S"]][put.Item["sk"]["S"]]
	switch put.Condition {
	case "":
		return true
	case "attribute_not_exists(pk)":
		return stored == nil
	case "rev = :r":
		return stored != nil && stored["rev"]["N"] == put.Values[":r"]["N"]
	}
	return false
}

func (t *Table) put(item attributes) {
	partition := item["pk"]["S"]
	if t.items[partition] == nil {
		t.items[partition] = map[string]attributes{}
	}
	t.items[partition][item["sk"]["S"]] = item
}
