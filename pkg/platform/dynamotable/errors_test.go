package dynamotable

import (
	"net/http"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

func canceled(codes ...string) error {
	failure := &types.TransactionCanceledException{}
	for _, code := range codes {
		failure.CancellationReasons = append(failure.CancellationReasons, types.CancellationReason{Code: aws.String(code)})
	}
	return failure
}

func answered(status int, err error) error {
	response := &smithyhttp.Response{Response: &http.Response{StatusCode: status}}
	return &awshttp.ResponseError{ResponseError: &smithyhttp.ResponseError{Response: response, Err: err}}
}

func TestClassifyCommit(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want error
	}{
		{"condition", canceled("None", reasonCondition), platform.ErrConflict},
		{"condition and throttling", canceled(reasonThrottled, reasonCondition), platform.ErrConflict},
		{"throttling", canceled("None", reasonThrottled), platform.ErrThrottled},
		{"capacity", canceled(reasonCapacity), platform.ErrThrottled},
		{"another transaction on the item", canceled("TransactionConflict"), platform.ErrUnavailable},
		{"reason without a code", &types.TransactionCanceledException{CancellationReasons: []types.CancellationReason{{}}}, platform.ErrUnavailable},
		{"same token in progress", &types.TransactionInProgressException{}, platform.ErrUnknownOutcome},
		{"token of another transaction", &types.IdempotentParameterMismatchException{}, platform.ErrConflict},
		{"rate limit", &smithy.GenericAPIError{Code: "RequestLimitExceeded"}, platform.ErrThrottled},
		{"bad request", answered(http.StatusBadRequest, errors.New("x")), platform.ErrUnavailable},
		{"server error", answered(http.StatusInternalServerError, errors.New("x")), platform.ErrUnknownOutcome},
		{"no answer", errors.New("EOF"), platform.ErrUnknownOutcome},
	}
	for _, test := range cases {
		if got := classifyCommit(errors.Wrap(test.err, "wrapped"), true); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
		if got := classifyCommit(test.err, false); got != platform.ErrUnavailable {
			t.Errorf("%s, not sent: %v", test.name, got)
		}
	}
}
