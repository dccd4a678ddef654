// Package dynamotable implements platform.Table with a table service that speaks
// the DynamoDB protocol. All records are in one partition of one table, whose key
// attributes are "partition" and "key" (strings).
package dynamotable

import (
	"context"
	"net/http"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/platform/internal/sent"
)

// Limits of the protocol.
const (
	maxTokenLength = 36
	maxActions     = 100
)

// Attributes of the items.
const (
	attributePartition = "partition"
	attributeKey       = "key"
	attributeValue     = "value"
	attributeVersion   = "version"
)

// Expressions. They are constants, so no record's content becomes part of one.
const (
	expressionMissing   = "attribute_not_exists(#version)"
	expressionVersion   = "#version = :version"
	expressionPartition = "#partition = :partition"
	expressionPrefix    = "#partition = :partition AND begins_with(#key, :prefix)"
)

// Config configures the access to a table.
type Config struct {
	Endpoint  string // URL
	Region    string
	Table     string // name of the table
	Partition string // partition key of all records
	AccessKey string
	SecretKey string
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// Table is a table in the service. It is safe for concurrent use.
type Table struct {
	client    *dynamodb.Client
	name      string
	partition string
}

var _ platform.Table = (*Table)(nil)

// New returns the table of config. It sends no request.
func New(config Config) *Table {
	credentials := aws.Credentials{AccessKeyID: config.AccessKey, SecretAccessKey: config.SecretKey}
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(config.Endpoint),
		Region:       config.Region,
		Credentials: aws.CredentialsProviderFunc(func(context.Context) (aws.Credentials, error) {
			return credentials, nil
		}),
		Retryer:                    aws.NopRetryer{}, // the caller decides about retries
		HTTPClient:                 &http.Client{Transport: newBodyTransport(config.Transport), CheckRedirect: noRedirect},
		DisableClockSkewCorrection: true,
	})
	return &Table{client: client, name: config.Table, partition: config.Partition}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Get returns the record, or platform.ErrNotFound. A failed read returns
// platform.ErrUnavailable or platform.ErrThrottled.
func (t *Table) Get(ctx context.Context, key string, consistent bool) (platform.Record, error) {
	output, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(t.name),
		Key:            t.key(key),
		ConsistentRead: aws.Bool(consistent),
	})
	if err != nil {
		return platform.Record{}, errors.Wrapf(classifyRead(err), "get %q: %v", key, err)
	}
	if len(output.Item) == 0 {
		return platform.Record{}, errors.Wrapf(platform.ErrNotFound, "get %q", key)
	}
	return parseRecord(output.Item)
}

// List returns the records whose keys begin with prefix, in key order. It uses
// consistent reads, but the pages are read one after the other, so records that
// change in the meantime may be of different times.
func (t *Table) List(ctx context.Context, prefix string) ([]platform.Record, error) {
	var records []platform.Record
	pages := dynamodb.NewQueryPaginator(t.client, t.listInput(prefix))
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, errors.Wrapf(classifyRead(err), "list %q: %v", prefix, err)
		}
		for _, item := range page.Items {
			record, err := parseRecord(item)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
		}
	}
	return records, nil
}

func (t *Table) listInput(prefix string) *dynamodb.QueryInput {
	input := &dynamodb.QueryInput{
		TableName:                 aws.String(t.name),
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String(expressionPartition),
		ExpressionAttributeNames:  map[string]string{"#partition": attributePartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{":partition": stringValue(t.partition)},
	}
	if prefix != "" { // the protocol does not allow an empty prefix
		input.KeyConditionExpression = aws.String(expressionPrefix)
		input.ExpressionAttributeNames["#key"] = attributeKey
		input.ExpressionAttributeValues[":prefix"] = stringValue(prefix)
	}
	return input
}

// Commit applies the transaction atomically. If it returns an error, the
// transaction had no effect, unless the error is platform.ErrUnknownOutcome: then
// it may or may not have taken effect.
func (t *Table) Commit(ctx context.Context, transaction platform.Transaction) error {
	actions, err := t.actions(transaction)
	if err != nil {
		return err
	}
	ctx, wasSent := sent.Trace(ctx)
	_, err = t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(requestToken(transaction.Token)),
		TransactItems:      actions,
	})
	if err != nil {
		return errors.Wrapf(classifyCommit(err, wasSent()), "commit %q: %v", transaction.Token, err)
	}
	return nil
}

// actions converts a transaction to the protocol's actions. Each written key
// needs a condition.
func (t *Table) actions(transaction platform.Transaction) ([]types.TransactWriteItem, error) {
	if transaction.Token == "" {
		return nil, errors.New("commit: no token")
	}
	if count := len(transaction.Conditions); count == 0 || count > maxActions {
		return nil, errors.Errorf("commit: %d conditions, want 1 to %d", count, maxActions)
	}
	writes := make(map[string]platform.Write, len(transaction.Writes))
	for _, write := range transaction.Writes {
		writes[write.Key] = write
	}
	if len(writes) != len(transaction.Writes) {
		return nil, errors.New("commit: two writes of one key")
	}
	actions := make([]types.TransactWriteItem, 0, len(transaction.Conditions))
	for _, condition := range transaction.Conditions {
		write, ok := writes[condition.Key]
		delete(writes, condition.Key)
		switch {
		case !ok:
			actions = append(actions, types.TransactWriteItem{ConditionCheck: t.check(condition)})
		case write.Delete:
			actions = append(actions, types.TransactWriteItem{Delete: t.remove(condition)})
		default:
			actions = append(actions, types.TransactWriteItem{Put: t.put(condition, write)})
		}
	}
	for key := range writes {
		return nil, errors.Errorf("commit: no condition on the written key %q", key)
	}
	return actions, nil
}

func (t *Table) check(condition platform.Condition) *types.ConditionCheck {
	expression, values := versionCondition(condition)
	return &types.ConditionCheck{
		TableName:                 aws.String(t.name),
		Key:                       t.key(condition.Key),
		ConditionExpression:       expression,
		ExpressionAttributeNames:  versionName(),
		ExpressionAttributeValues: values,
	}
}

func (t *Table) remove(condition platform.Condition) *types.Delete {
	expression, values := versionCondition(condition)
	return &types.Delete{
		TableName:                 aws.String(t.name),
		Key:                       t.key(condition.Key),
		ConditionExpression:       expression,
		ExpressionAttributeNames:  versionName(),
		ExpressionAttributeValues: values,
	}
}

func (t *Table) put(condition platform.Condition, write platform.Write) *types.Put {
	expression, values := versionCondition(condition)
	item := t.key(condition.Key)
	item[attributeValue] = &types.AttributeValueMemberB{Value: write.Value}
	item[attributeVersion] = versionValue(condition.Version + 1)
	return &types.Put{
		TableName:                 aws.String(t.name),
		Item:                      item,
		ConditionExpression:       expression,
		ExpressionAttributeNames:  versionName(),
		ExpressionAttributeValues: values,
	}
}

func (t *Table) key(key string) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attributePartition: stringValue(t.partition),
		attributeKey:       stringValue(key),
	}
}

func versionCondition(condition platform.Condition) (*string, map[string]types.AttributeValue) {
	if condition.Version == 0 {
		return aws.String(expressionMissing), nil
	}
	return aws.String(expressionVersion), map[string]types.AttributeValue{":version": versionValue(condition.Version)}
}

func versionName() map[string]string {
	return map[string]string{"#version": attributeVersion}
}

func versionValue(version uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(version, 10)}
}

func stringValue(value string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: value}
}

func parseRecord(item map[string]types.AttributeValue) (platform.Record, error) {
	key, keyOK := item[attributeKey].(*types.AttributeValueMemberS)
	value, valueOK := item[attributeValue].(*types.AttributeValueMemberB)
	version, versionOK := item[attributeVersion].(*types.AttributeValueMemberN)
	if !keyOK || !valueOK || !versionOK {
		return platform.Record{}, errors.New("table: item without key, value or version")
	}
	number, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return platform.Record{}, errors.Wrapf(err, "table: version of %q", key.Value)
	}
	return platform.Record{Key: key.Value, Value: value.Value, Version: number}, nil
}

// requestToken returns the token in the form that the protocol accepts. A token
// that is too long is replaced by a name-based UUID.
func requestToken(token string) string {
	if len(token) <= maxTokenLength {
		return token
	}
	return uuid.NewSHA1(uuid.NameSpaceOID, []byte(token)).String()
}
