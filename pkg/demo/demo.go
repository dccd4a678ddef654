// Package demo runs martenwheel in a single process: stand-ins for the platform and for three
// engines, three nodes in three zones, and two requests to idle models.
package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options are the options of a demonstration.
type Options struct {
	Once    bool // stop after the first answers
	Version string
	Out     io.Writer // receives the progress as text
	Logs    io.Writer // receives the nodes' logs as JSON lines
}

// Timeouts and poll interval.
const (
	readyTimeout   = 30 * time.Second
	readyPoll      = 100 * time.Millisecond
	requestTimeout = time.Minute
)

// Run starts the site, sends the requests and, unless options.Once is set, serves until ctx ends.
func Run(ctx context.Context, options Options) error {
	d := &demonstration{options: options, started: time.Now()}
	d.step("starting: platform, 3 engines and 3 nodes on 127.0.0.1")
	site, err := startSite(ctx, options.Version, options.Logs)
	if err != nil {
		return err
	}
	defer site.close()
	if err := d.sendRequests(ctx, site); err != nil {
		return err
	}
	if options.Once {
		d.step("done")
		return nil
	}
	d.printHints(site)
	<-ctx.Done()
	d.step("stopping")
	return nil
}

// demonstration prints its progress with the time since the start.
type demonstration struct {
	options Options
	started time.Time
}

func (d *demonstration) step(format string, arguments ...any) {
	elapsed := time.Since(d.started).Seconds()
	fmt.Fprintf(d.options.Out, "%7.3fs  %s\n", elapsed, fmt.Sprintf(format, arguments...))
}

// sendRequests waits for the nodes and sends a streamed and an unstreamed request.
func (d *demonstration) sendRequests(ctx context.Context, site *site) error {
	if err := d.waitReady(ctx, site); err != nil {
		return err
	}
	d.step("ready: the tree is in force on all nodes; every model is idle")
	if err := d.askStreamed(ctx, site.nodes[0].Addresses().Callers, "glaze-7b"); err != nil {
		return err
	}
	return d.askUnstreamed(ctx, site.nodes[1].Addresses().Callers, "glaze-7b:studio-3")
}

// waitReady waits until all nodes are ready.
func (d *demonstration) waitReady(ctx context.Context, site *site) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, node := range site.nodes {
		for node.Ready() != nil {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Wrap(node.Ready(), "a node did not become ready")
			}
		}
	}
	return nil
}

// askStreamed sends a streamed request and prints when the first token and the end of the stream
// arrive.
func (d *demonstration) askStreamed(ctx context.Context, address, model string) error {
	d.step("request to idle model %s at node %s, streamed", model, address)
	response, err := post(ctx, address, body(model, true))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	events := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			d.step("whole: %d events and [DONE]", events)
			return nil
		}
		events++
		if events == 1 {
			d.step("first token, after the load of the checkpoint")
		}
	}
	return errors.Errorf("the stream of %s ended without [DONE] after %d events (%v)", model, events, lines.Err())
}

// askUnstreamed sends a request that is not streamed and prints the answer.
func (d *demonstration) askUnstreamed(ctx context.Context, address, model string) error {
	d.step("request to idle adapter %s at node %s, not streamed", model, address)
	response, err := post(ctx, address, body(model, false))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrapf(err, "read the answer of %s", model)
	}
	d.step("whole: %d bytes: %.72s...", len(answer), answer)
	return nil
}

// printHints prints commands for sending requests by hand.
func (d *demonstration) printHints(site *site) {
	addresses := site.nodes[0].Addresses()
	d.step("serving until interrupted; try:")
	fmt.Fprintf(d.options.Out, `
  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '%s'
  martenwheel status --address http://%s
  martenwheel tree explain /assistant/llama/glaze-7b --address http://%s

`, addresses.Callers, body("firing-13b", true), addresses.Operators, addresses.Operators)
}

// body returns the JSON body of a chat completion request.
func body(model string, stream bool) string {
	return fmt.Sprintf(`{"model":"%s","stream":%t,"max_tokens":16,"messages":[{"role":"user","content":"When may I glaze?"}]}`, model, stream)
}

// post sends a request and checks the status of the response.
func post(ctx context.Context, address, body string) (*http.Response, error) {
	url := "http://" + address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make a request")
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: requestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send a request")
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		answer, _ := io.ReadAll(response.Body) // used only in the error message
		return nil, errors.Errorf("answer %s: %s", response.Status, answer)
	}
	return response, nil
}
