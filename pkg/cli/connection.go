package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"martenwheel.dev/pkg/findings"
	"martenwheel.dev/pkg/operator"
)

const (
	defaultAddress = "http://127.0.0.1:8081"
	callTimeout    = 30 * time.Second
)

// connection holds the flags that select the node to connect to.
type connection struct {
	address string
	keyFile string
	caFile  string
}

// bind adds the flags to a subcommand.
func (c *connection) bind(subcommand *flaggy.Subcommand) {
	c.address = defaultAddress
	subcommand.String(&c.address, "a", "address", "URL of a node's listener for operators")
	subcommand.String(&c.keyFile, "", "key-file", "file with the operator's API key")
	subcommand.String(&c.caFile, "", "ca-file", "authorities to check the node's certificate against, PEM")
}

// call passes a client of the node to use, prints the error if there is one, and returns the exit
// code.
func (c *connection) call(streams Streams, fn func(ctx context.Context, client *operator.Client) error) int {
	client, err := c.client()
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return report(streams, fn(ctx, client))
}

// client returns a client for the node's operator API.
func (c *connection) client() (*operator.Client, error) {
	key := ""
	if c.keyFile != "" {
		data, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "API key")
		}
		key = strings.TrimSpace(string(data))
	}
	transport := &http.Transport{Proxy: nil}
	if c.caFile != "" {
		data, err := os.ReadFile(c.caFile)
		if err != nil {
			return nil, errors.Wrap(err, "authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, errors.Errorf("%s has no PEM certificates", c.caFile)
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return operator.NewClient(c.address, key, &http.Client{Transport: transport}), nil
}

// report prints err, if it is not nil, and returns its exit code.
func report(streams Streams, err error) int {
	if err == nil {
		return ExitOK
	}
	var reported *findings.Error
	if errors.As(err, &reported) {
		return reportFindings(streams, reported.Findings)
	}
	var refused *operator.RequestError
	if !errors.As(err, &refused) {
		fmt.Fprintln(streams.Err, err)
		if errors.Is(err, operator.ErrUnreachable) || errors.Is(err, operator.ErrNoAnswer) {
			return ExitUnreachable
		}
		return ExitRefused
	}
	fmt.Fprintln(streams.Err, refused.Detail.Message)
	reportFindings(streams, refused.Detail.Findings)
	switch refused.Detail.Code {
	case operator.CodeConflict:
		return ExitConflict
	case operator.CodeUnavailable, operator.CodeOutcomeUnknown:
		return ExitUnreachable
	default:
		return ExitRefused
	}
}

// reportFindings prints findings, one per line.
func reportFindings(streams Streams, found []findings.Finding) int {
	for _, finding := range found {
		fmt.Fprintln(streams.Err, finding)
	}
	return ExitRefused
}
