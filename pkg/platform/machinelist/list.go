// Package machinelist is a platform.Machines that reads the list as JSON over
// HTTP.
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

// Path of the list under the endpoint, with the region as its query.
const Path = "/machines"

// maxListBytes bounds the list: about 200 bytes for each machine.
const maxListBytes = 16 << 20

// Config says where the list is.
type Config struct {
	Endpoint  string            // URL without a path
	Transport http.RoundTripper // nil: http.DefaultTransport
}

// Client reads the list of machines. Safe for concurrent use.
type Client struct {
	endpoint string
	http     *http.Client
}

var _ platform.Machines = (*Client)(nil)

// New returns a client with config. It sends nothing.
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

// decode refuses a list that is cut or too long: it must not look as if
// machines had gone.
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
