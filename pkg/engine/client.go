package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"martenwheel.dev/pkg/httphead"
)

// Bounds of the HTTP client.
const (
	DefaultTimeout          = 10 * time.Second // for calls whose context has no deadline
	DefaultDialTimeout      = time.Second
	DefaultMaxResponseBytes = 64 << 20 // the largest answer is an exported KV cache
	maxControlBytes         = 16 << 20 // of all other answers; the largest are lists of cache events
	maxIdleConnection       = 5 * time.Second
	maxErrorDetailBytes     = 512
)

// StatusError is an answer of an engine with a status other than 200 OK. With a
// status of 500 or above the error also matches ErrUnknownOutcome.
type StatusError struct {
	Code   int
	Detail string // the first maxErrorDetailBytes of the body
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine: status %d: %s", e.Code, e.Detail)
}

// HTTPClientConfig configures an HTTPClient. Zero values mean the defaults.
type HTTPClientConfig struct {
	DialTimeout      time.Duration
	MaxResponseBytes int
	Dial             func(address string) (net.Conn, error) // nil: TCP
}

// HTTPClient is a Client that speaks JSON over HTTP. It never retries a request.
type HTTPClient struct {
	export  fasthttp.Client // for exported KV caches
	control fasthttp.Client // for all else
}

var _ Client = (*HTTPClient)(nil)

// dialError marks an error that occurred before a connection was established.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "dial: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NewHTTPClient returns a client with config.
func NewHTTPClient(config HTTPClientConfig) *HTTPClient {
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.MaxResponseBytes == 0 {
		config.MaxResponseBytes = DefaultMaxResponseBytes
	}
	dial := config.Dial
	if dial == nil {
		dial = func(address string) (net.Conn, error) {
			return fasthttp.DialDualStackTimeout(address, config.DialTimeout)
		}
	}
	c := &HTTPClient{}
	for client, maxBytes := range map[*fasthttp.Client]int{
		&c.export:  config.MaxResponseBytes,
		&c.control: min(config.MaxResponseBytes, maxControlBytes),
	} {
		client.NoDefaultUserAgentHeader = true
		client.MaxIdemponentCallAttempts = 1
		client.RetryIfErr = neverRetry
		client.MaxResponseBodySize = maxBytes
		client.MaxIdleConnDuration = maxIdleConnection
		client.DisablePathNormalizing = true
		client.DisableHeaderNamesNormalizing = false
		client.Dial = func(address string) (net.Conn, error) {
			connection, err := dial(address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return httphead.NewConn(connection), nil
		}
	}
	return c
}

// clientFor returns the client for a path.
func (c *HTTPClient) clientFor(path string) *fasthttp.Client {
	if path == PathKVExport {
		return &c.export
	}
	return &c.control
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Order sends an order. The error is ErrUnreachable, ErrUnknownOutcome or a
// *StatusError below 500, which means that the engine refused the order.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) (OrderResult, error) {
	var result OrderResult
	err := c.call(ctx, http.MethodPost, address, PathOrders, order, &result)
	return result, err
}

// Inventory raises the engine's fence to the request's and returns the engine's
// inventory. It returns the same errors as Order.
func (c *HTTPClient) Inventory(ctx context.Context, address string, request InventoryRequest) (Inventory, error) {
	var inventory Inventory
	err := c.call(ctx, http.MethodPost, address, PathInventory, request, &inventory)
	return inventory, err
}

// Load returns the engine's load report. It returns the same errors as Order.
func (c *HTTPClient) Load(ctx context.Context, address string) (LoadReport, error) {
	var report LoadReport
	err := c.call(ctx, http.MethodGet, address, PathLoad, nil, &report)
	return report, err
}

// CacheEvents returns the events with a sequence number greater than after. It
// returns the same errors as Order.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var events CacheEvents
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, http.MethodGet, address, path, nil, &events)
	return events, err
}

// Cancel stops a running request. It returns the same errors as Order.
func (c *HTTPClient) Cancel(ctx context.Context, address string, request CancelRequest) error {
	return c.call(ctx, http.MethodPost, address, PathCancel, request, nil)
}

// ExportKV returns the KV cache of a request. It returns the same errors as Order.
func (c *HTTPClient) ExportKV(ctx context.Context, address string, request KVExportRequest) (KVExport, error) {
	var export KVExport
	err := c.call(ctx, http.MethodPost, address, PathKVExport, request, &export)
	return export, err
}

// ImportKV transfers an exported KV cache to the engine. It returns the same
// errors as Order.
func (c *HTTPClient) ImportKV(ctx context.Context, address string, export KVExport) error {
	return c.call(ctx, http.MethodPost, address, PathKVImport, export, nil)
}

// call sends one request and decodes the response into answer unless answer is
// nil. It returns when ctx ends, even if the exchange is still in progress.
func (c *HTTPClient) call(ctx context.Context, method, address, path string, body, answer any) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	request, err := newRequest(method, address, path, body)
	if err != nil {
		return err
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	// The request and response are not pooled because the exchange still uses
	// them after an early return.
	response := &fasthttp.Response{}
	done := make(chan error, 1)
	go func() { done <- c.clientFor(path).DoDeadline(request, response, deadline) }()
	select {
	case err = <-done:
	case <-ctx.Done():
		return errors.Wrapf(ErrUnknownOutcome, "%s %s%s: %v", method, address, path, ctx.Err())
	}
	if err != nil {
		return errors.Wrapf(classify(err), "%s %s%s: %v", method, address, path, err)
	}
	return decode(response, answer)
}

func newRequest(method, address, path string, body any) (*fasthttp.Request, error) {
	request := &fasthttp.Request{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if body == nil {
		return request, nil
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "engine: encode request")
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(encoded)
	return request, nil
}

// classify returns ErrUnreachable if the failed exchange certainly sent nothing,
// else ErrUnknownOutcome.
func classify(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return ErrUnreachable
	}
	return ErrUnknownOutcome
}

func decode(response *fasthttp.Response, answer any) error {
	body := response.Body()
	if code := response.StatusCode(); code != http.StatusOK {
		status := &StatusError{Code: code, Detail: string(body[:min(len(body), maxErrorDetailBytes)])}
		if code >= http.StatusInternalServerError {
			return &unknownOutcomeError{cause: status}
		}
		return status
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return errors.Wrapf(ErrUnknownOutcome, "decode answer: %v", err)
	}
	return nil
}

// unknownOutcomeError combines ErrUnknownOutcome with the answer that caused it.
type unknownOutcomeError struct{ cause *StatusError }

func (e *unknownOutcomeError) Error() string {
	return ErrUnknownOutcome.Error() + ": " + e.cause.Error()
}

// Unwrap returns both errors for errors.Is and errors.As.
func (e *unknownOutcomeError) Unwrap() []error { return []error{ErrUnknownOutcome, e.cause} }
