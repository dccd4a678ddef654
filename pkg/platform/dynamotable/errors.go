package dynamotable

import (
	"net/http"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Codes of the reasons why a transaction was cancelled.
const (
	reasonCondition = "ConditionalCheckFailed"
	reasonThrottled = "ThrottlingError"
	reasonCapacity  = "ProvisionedThroughputExceeded"
)

// throttled are the error codes of the rate limits.
var throttled = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
}

// classifyRead returns the platform's error for a read that failed. Reads have
// no effect, so that none of them is of unknown outcome.
func classifyRead(err error) error {
	if isThrottled(err) {
		return platform.ErrThrottled
	}
	return platform.ErrUnavailable
}

// classifyCommit returns the platform's error for a transaction that failed. A
// server error counts as unknown: the service may have failed after the effect.
func classifyCommit(err error, sent bool) error {
	var canceled *types.TransactionCanceledException
	var mismatch *types.IdempotentParameterMismatchException
	var inProgress *types.TransactionInProgressException
	switch {
	case !sent:
		return platform.ErrUnavailable
	case errors.As(err, &canceled):
		return classifyReasons(canceled.CancellationReasons)
	case errors.As(err, &mismatch):
		return platform.ErrConflict // the token's first transaction was another one
	case errors.As(err, &inProgress):
		return platform.ErrUnknownOutcome
	case isThrottled(err):
		return platform.ErrThrottled
	case isRefused(err):
		return platform.ErrUnavailable
	default:
		return platform.ErrUnknownOutcome
	}
}

func classifyReasons(reasons []types.CancellationReason) error {
	result := platform.ErrUnavailable // for example another transaction on the same item
	for _, reason := range reasons {
		if reason.Code == nil {
			continue
		}
		switch *reason.Code {
		case reasonCondition:
			return platform.ErrConflict
		case reasonThrottled, reasonCapacity:
			result = platform.ErrThrottled
		}
	}
	return result
}

func isThrottled(err error) bool {
	var api smithy.APIError
	return errors.As(err, &api) && throttled[api.ErrorCode()]
}

// isRefused tells whether the service answered that the request is wrong.
func isRefused(err error) bool {
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
