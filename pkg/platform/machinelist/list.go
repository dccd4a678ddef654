// Package machinelist implements platform.Machines. It reads the list of machines
// as JSON over HTTP.
package machinelist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/platform"
)

// Path is the path of the list below the endpoint. The region is a query
// parameter.
const Path = "/machines"

// maxListBytes bounds the size of the list. A machine takes about 200 bytes.
const maxListBytes = 16 << 20

// Config configures a Client.
type Config struct {
	Endpoint  string            // URL without a path
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// Client reads the list of machines. It is safe for concurrent use.
type Client struct {
	endpoint string
	http     *http.Client
}

var _ platform.Machines = (*Client)(nil)

// New returns a client with config. It sends no request.
func New(config Config) *Client {
	return &Client{endpoint: config.Endpoint, http: &http.Client{Transport: config.Transport}}
}

// List returns the machines of the region. The error is
// platform.ErrUnavailable or platform.ErrThrottled.
func (c *Client) List(ctx context.Context, region string) (platform.MachineList, error) {
	address := c.endpoint + Path + "?region=" + url.QueryEscape(region)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return platform.MachineList{}, errors.Wrap(err, "list of machines")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return platform.MachineList{}, errors.Wrapf(platform.ErrUnavailable, "list of machines: %v", err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return decode(response.Body)
	case http.StatusTooManyRequests:
		return platform.MachineList{}, errors.Wrap(platform.ErrThrottled, "list of machines")
	default:
		return platform.MachineList{}, errors.Wrapf(platform.ErrUnavailable, "list of machines: status %d", response.StatusCode)
	}
}

// decode decodes the list. It rejects a truncated or too long one, which would
// otherwise look as if machines were gone.
func decode(body io.Reader) (platform.MachineList, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err != nil {
		return platform.MachineList{}, errors.Wrapf(platform.ErrUnavailable, "list of machines: %v", err)
	}
	if len(data) > maxListBytes {
		return platform.MachineList{}, errors.Wrapf(platform.ErrUnavailable, "list of machines: over %d bytes", maxListBytes)
	}
	var list platform.MachineList
	if err := json.Unmarshal(data, &list); err != nil {
		return platform.MachineList{}, errors.Wrapf(platform.ErrUnavailable, "list of machines: %v", err)
	}
	return list, nil
}
