package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/tree"
)

// Errors for requests that were not answered.
var (
	// ErrUnreachable means that the request was not sent.
	ErrUnreachable = errors.New("operator: node unreachable")
	// ErrNoAnswer means that the request may have been sent but no complete
	// answer was received. A change may or may not have been accepted.
	ErrNoAnswer = errors.New("operator: no answer from the node")
)

// RequestError is an error response of the API.
type RequestError struct {
	Status int // HTTP status
	Detail ErrorDetail
}

// Error returns the node's message.
func (e *RequestError) Error() string {
	return e.Detail.Message
}

// Client calls the API of one node.
type Client struct {
	base string // URL without a trailing slash
	key  string
	http *http.Client
}

// NewClient returns a client for the node at base, a URL such as
// "http://127.0.0.1:8081". The API key may be empty.
func NewClient(base, key string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: client}
}

// Tree returns the tree in force.
func (c *Client) Tree(ctx context.Context) (*tree.Tree, error) {
	return c.readTree(ctx, nil)
}

// TreeAt returns the tree at a revision.
func (c *Client) TreeAt(ctx context.Context, revision tree.Revision) (*tree.Tree, error) {
	return c.readTree(ctx, url.Values{"revision": {formatRevision(revision)}})
}

func (c *Client) readTree(ctx context.Context, query url.Values) (*tree.Tree, error) {
	body, err := c.call(ctx, http.MethodGet, PathTree, query, nil)
	if err != nil {
		return nil, err
	}
	return tree.Parse(body)
}

// Explain returns the origins of the effective settings of the tree node at path.
func (c *Client) Explain(ctx context.Context, path tree.Path) (ExplainAnswer, error) {
	return get[ExplainAnswer](ctx, c, PathExplain, url.Values{"path": {string(path)}})
}

// History returns the last n accepted changes, newest first.
func (c *Client) History(ctx context.Context, n int) (HistoryAnswer, error) {
	return get[HistoryAnswer](ctx, c, PathHistory, url.Values{"n": {strconv.Itoa(n)}})
}

// Diff returns the edits from one revision to another. If to is 0, it is the revision
// in force.
func (c *Client) Diff(ctx context.Context, from, to tree.Revision) (DiffAnswer, error) {
	query := url.Values{"from": {formatRevision(from)}}
	if to != 0 {
		query.Set("to", formatRevision(to))
	}
	return get[DiffAnswer](ctx, c, PathDiff, query)
}

// Status returns the state of the system as the node knows it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, PathStatus, nil)
}

// Edit changes the tree. After ErrNoAnswer or CodeOutcomeUnknown the caller may repeat
// the request unchanged; it is applied only once.
func (c *Client) Edit(ctx context.Context, request EditRequest) (EditAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return EditAnswer{}, errors.Wrap(err, "encode change")
	}
	answer, err := c.call(ctx, http.MethodPost, PathEdits, nil, body)
	if err != nil {
		return EditAnswer{}, err
	}
	return decode[EditAnswer](answer)
}

// get requests a path and decodes its JSON answer.
func get[Answer any](ctx context.Context, c *Client, path string, query url.Values) (Answer, error) {
	body, err := c.call(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		var none Answer
		return none, err
	}
	return decode[Answer](body)
}

// decode decodes a JSON answer.
func decode[Answer any](body []byte) (Answer, error) {
	var answer Answer
	err := json.Unmarshal(body, &answer)
	return answer, errors.Wrap(err, "the node's answer")
}

// call sends one request and returns the body of a successful answer.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classifyCallError(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, tree.MaxTreeBytes))
	if err != nil {
		return nil, classifyCallError(err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, requestError(response.StatusCode, answer)
	}
	return answer, nil
}

// classifyCallError wraps err in ErrUnreachable if connecting failed, so that nothing was
// sent, and otherwise in ErrNoAnswer.
func classifyCallError(err error) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return errors.WithMessage(ErrUnreachable, err.Error())
	}
	return errors.WithMessage(ErrNoAnswer, err.Error())
}

// requestError returns the error for an unsuccessful answer.
func requestError(status int, body []byte) error {
	var answer ErrorAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Code == "" {
		answer.Error.Message = fmt.Sprintf("the node answered %d %s", status, http.StatusText(status))
	}
	return &RequestError{Status: status, Detail: answer.Error}
}

func formatRevision(revision tree.Revision) string {
	return strconv.FormatUint(uint64(revision), 10)
}
