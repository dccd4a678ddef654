package dynamotable

import (
	"net/http"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Codes of the reasons for which a transaction is cancelled.
const (
	reasonCondition = "ConditionalCheckFailed"
	reasonThrottled = "ThrottlingError"
	reasonCapacity  = "ProvisionedThroughputExceeded"
)

// throttled contains the error codes of rate limits.
var throttled = map[string]bool{
	"ThrottlingException":                    true,
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
}

// classifyRead maps the error of a failed read to one of package platform. Reads
// have no effect, so their outcome is never unknown.
func classifyRead(err error) error {
	if isThrottled(err) {
		return platform.ErrThrottled
	}
	return platform.ErrUnavailable
}

// classifyCommit maps the error of a failed transaction to one of package
// platform. The outcome is unknown after a server error, because the service may
// have failed after the transaction took effect.
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
		return platform.ErrConflict // the token was used for a different transaction
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

// isRefused reports whether the service answered with a client error.
func isRefused(err error) bool {
	var response *awshttp.ResponseError
	if !errors.As(err, &response) {
		return false
	}
	status := response.HTTPStatusCode()
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}
