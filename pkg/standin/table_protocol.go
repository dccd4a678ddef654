package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Attributes and expressions that the table service supports. It refuses others.
const (
	attributePartition = "partition"
	attributeKey       = "key"
	attributeVersion   = "version"

	expressionMissing   = "attribute_not_exists(#version)"
	expressionVersion   = "#version = :version"
	expressionPartition = "#partition = :partition"
	expressionPrefix    = "#partition = :partition AND begins_with(#key, :prefix)"
)

// Error codes of the protocol.
const (
	codeCanceled   = "TransactionCanceledException"
	codeMismatch   = "IdempotentParameterMismatchException"
	codeThrottled  = "ThrottlingException"
	codeValidation = "ValidationException"
	codeUnknown    = "UnknownOperationException"
)

const targetPrefix = "DynamoDB_20120810."

type getItemInput struct {
	Key            record
	ConsistentRead bool
}

type getItemOutput struct {
	Item record `json:",omitempty"`
}

type queryInput struct {
	KeyConditionExpression    string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
	ExclusiveStartKey         record
	ConsistentRead            bool
}

type queryOutput struct {
	Items            []record
	Count            int
	LastEvaluatedKey record `json:",omitempty"`
}

// transactItem is one action of TransactWriteItems. Exactly one field is set.
type transactItem struct {
	ConditionCheck *transactAction
	Put            *transactAction
	Delete         *transactAction
}

type transactAction struct {
	Key                       record
	Item                      record
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]attribute
}

type transactInput struct {
	ClientRequestToken string
	TransactItems      []transactItem
}

type tableError struct {
	Type                string               `json:"__type"`
	Message             string               `json:"message"`
	CancellationReasons []cancellationReason `json:",omitempty"`
}

type cancellationReason struct {
	Code string
}

// serve handles one request in the DynamoDB protocol.
func (t *table) serve(writer http.ResponseWriter, request *http.Request) {
	if !t.limiter.AllowN(t.clock.Now(), 1) {
		writeTableError(writer, codeThrottled, "rate exceeded")
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		writeTableError(writer, codeValidation, err.Error())
		return
	}
	var output any
	code := codeValidation
	switch operation := strings.TrimPrefix(request.Header.Get("X-Amz-Target"), targetPrefix); operation {
	case "GetItem":
		output, err = t.serveGet(body)
	case "Query":
		output, err = t.serveQuery(body)
	case "TransactWriteItems":
		t.serveTransaction(writer, body)
		return
	default:
		code, err = codeUnknown, errors.New("unknown operation "+operation)
	}
	if err != nil {
		writeTableError(writer, code, err.Error())
		return
	}
	writeTableAnswer(writer, http.StatusOK, output)
}

func (t *table) serveGet(body []byte) (any, error) {
	var input getItemInput
	if err := readJSON(bytes.NewReader(body), &input); err != nil {
		return nil, err
	}
	key, err := keyOf(input.Key)
	if err != nil {
		return nil, err
	}
	found, _ := t.get(key, input.ConsistentRead)
	return getItemOutput{Item: found}, nil
}

func (t *table) serveQuery(body []byte) (any, error) {
	var input queryInput
	if err := readJSON(bytes.NewReader(body), &input); err != nil {
		return nil, err
	}
	if !placeholdersMatchNames(input.ExpressionAttributeNames) {
		return nil, errors.New("unknown attribute name")
	}
	partition, prefix, after := input.ExpressionAttributeValues[":partition"].S, "", ""
	if partition == nil {
		return nil, errors.New("partition missing")
	}
	switch input.KeyConditionExpression {
	case expressionPartition:
	case expressionPrefix:
		if value := input.ExpressionAttributeValues[":prefix"].S; value != nil {
			prefix = *value
		}
		if prefix == "" {
			return nil, errors.New("prefix is empty")
		}
	default:
		return nil, errors.New("unknown expression " + input.KeyConditionExpression)
	}
	if input.ExclusiveStartKey != nil {
		start, err := keyOf(input.ExclusiveStartKey)
		if err != nil {
			return nil, err
		}
		after = start.key
	}
	items, more := t.query(*partition, prefix, after, input.ConsistentRead)
	output := queryOutput{Items: items, Count: len(items)}
	if more {
		last := items[len(items)-1]
		output.LastEvaluatedKey = record{attributePartition: last[attributePartition], attributeKey: last[attributeKey]}
	}
	return output, nil
}

func (t *table) serveTransaction(writer http.ResponseWriter, body []byte) {
	var input transactInput
	if err := readJSON(bytes.NewReader(body), &input); err != nil {
		writeTableError(writer, codeValidation, err.Error())
		return
	}
	if len(input.ClientRequestToken) > maxTokenLength {
		writeTableError(writer, codeValidation, "token too long")
		return
	}
	actions, err := parseActions(input.TransactItems)
	if err != nil {
		writeTableError(writer, codeValidation, err.Error())
		return
	}
	verdict := t.transact(input.ClientRequestToken, fingerprint(input), actions)
	switch {
	case verdict.mismatch:
		writeTableError(writer, codeMismatch, "token used with other parameters")
	case verdict.failed != nil:
		writeCanceled(writer, verdict.failed)
	default:
		writeTableAnswer(writer, http.StatusOK, struct{}{})
	}
}

// fingerprint returns a hash of a transaction that does not depend on the order
// of its attributes.
func fingerprint(input transactInput) uint64 {
	canonical, err := json.Marshal(input)
	if err != nil {
		panic(err) // can't happen: input was decoded from JSON
	}
	return xxhash.Sum64(canonical)
}

func parseActions(items []transactItem) ([]action, error) {
	if len(items) == 0 || len(items) > maxTransactionWrites {
		return nil, errors.Errorf("%d items", len(items))
	}
	actions := make([]action, len(items))
	seen := map[recordKey]bool{}
	for i, item := range items {
		var err error
		if actions[i], err = parseAction(item); err != nil {
			return nil, err
		}
		if seen[actions[i].key] {
			return nil, errors.New("two actions on one item")
		}
		seen[actions[i].key] = true
	}
	return actions, nil
}

func parseAction(item transactItem) (action, error) {
	var parsed action
	var input *transactAction
	var keys record
	switch {
	case item.ConditionCheck != nil:
		input, keys = item.ConditionCheck, item.ConditionCheck.Key
	case item.Put != nil:
		input, keys = item.Put, item.Put.Item
		parsed.put = item.Put.Item
	case item.Delete != nil:
		input, keys = item.Delete, item.Delete.Key
		parsed.remove = true
	default:
		return parsed, errors.New("unknown action")
	}
	var err error
	if parsed.key, err = keyOf(keys); err != nil {
		return parsed, err
	}
	parsed.condition, err = parseCondition(input)
	return parsed, err
}

func parseCondition(input *transactAction) (condition, error) {
	if !placeholdersMatchNames(input.ExpressionAttributeNames) {
		return condition{}, errors.New("unknown attribute name")
	}
	switch input.ConditionExpression {
	case expressionMissing:
		return condition{missing: true}, nil
	case expressionVersion:
		value := input.ExpressionAttributeValues[":version"].N
		if value == nil {
			return condition{}, errors.New(":version missing")
		}
		return condition{version: *value}, nil
	default:
		return condition{}, errors.New("unknown expression " + input.ConditionExpression)
	}
}

// placeholdersMatchNames reports whether each placeholder is "#" and the name of
// its attribute.
func placeholdersMatchNames(names map[string]string) bool {
	for placeholder, name := range names {
		if placeholder != "#"+name {
			return false
		}
	}
	return true
}

func keyOf(attributes record) (recordKey, error) {
	partition, key := attributes[attributePartition].S, attributes[attributeKey].S
	if partition == nil || key == nil || *partition == "" || *key == "" {
		return recordKey{}, errors.New("key attributes missing")
	}
	return recordKey{partition: *partition, key: *key}, nil
}

func writeTableError(writer http.ResponseWriter, code, message string) {
	writeTableAnswer(writer, http.StatusBadRequest, tableError{Type: errorType(code), Message: message})
}

func writeCanceled(writer http.ResponseWriter, failed []bool) {
	reasons := make([]cancellationReason, len(failed))
	for i := range failed {
		reasons[i].Code = "None"
		if failed[i] {
			reasons[i].Code = "ConditionalCheckFailed"
		}
	}
	writeTableAnswer(writer, http.StatusBadRequest, tableError{
		Type:                errorType(codeCanceled),
		Message:             "Transaction cancelled",
		CancellationReasons: reasons,
	})
}

func errorType(code string) string {
	return "com.amazonaws.dynamodb.v20120810#" + code
}

func writeTableAnswer(writer http.ResponseWriter, status int, answer any) {
	writer.Header().Set("Content-Type", "application/x-amz-json-1.0")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(answer) // fails only if the caller left
}
