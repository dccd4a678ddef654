package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/loadtest"
)

// Defaults of the "load" subcommand.
const (
	defaultLoadRate     = 10.0 // streams per second
	defaultLoadDuration = 10 * time.Second
	defaultLoadDeadline = 15 * time.Second
	defaultLoadAttempts = 3
	defaultUnrulyBody   = 4 << 20 // bytes
)

// loadCommand returns the "load" subcommand, which sends streams to running nodes.
func loadCommand() command {
	o := loadtest.Options{PerSecond: defaultLoadRate, Duration: defaultLoadDuration, Deadline: defaultLoadDeadline, Attempts: defaultLoadAttempts,
		IDHeader: "X-Request-Id", Path: "/", Unruly: loadtest.Unruly{BodyBytes: defaultUnrulyBody}}
	model, modelHeader := "", ""
	c := flaggy.NewSubcommand("load")
	c.Description = "Send streams to running nodes, take up at another node those that break off, and count what callers got."
	c.StringSlice(&o.Nodes, "", "node", "IP:port of a node's listener for callers (several times)")
	c.String(&o.Host, "", "host", "Host of the route")
	c.String(&o.Path, "", "path", "Path of the route")
	c.String(&o.Body, "", "body", "Beginning of each body")
	c.String(&model, "", "model", "Model that the requests need")
	c.String(&modelHeader, "", "model-header", "Header with the model")
	c.String(&o.IDHeader, "", "id-header", "Header with the ID of an attempt")
	c.String(&o.DeadlineHeader, "", "deadline-header", "Header with the milliseconds that the caller waits")
	c.String(&o.ResumesHeader, "", "resumes-header", "Header with the ID of the attempt that brought the first event")
	c.String(&o.SameField, "", "same-field", "JSON field of events that tells the server's software version, or data")
	c.String(&o.PartsHeader, "", "parts-header", "Header with the parts of a prompt, as ID:TOKENS")
	c.String(&o.SharedPart, "", "shared-part", "ID of the first part of all prompts")
	c.String(&o.BadPart, "", "bad-part", "ID of a part that crashes the servers under test")
	c.Float64(&o.BadShare, "", "bad-share", "Share of prompts with that part, 0 to 1")
	c.String(&o.PassingModel, "", "passing-model", "Model that is listed and retired during the run")
	c.Float64(&o.PassingShare, "", "passing-share", "Share of the requests for that model, 0 to 1")
	c.Float64(&o.LeaveShare, "", "leave-share", "Share of callers that leave their node after an event and take the stream up at another, 0 to 1")
	c.Int(&o.UploadBytes, "", "upload-bytes", "Length of each body, so that servers may answer before they have read it")
	c.Int(&o.Events, "", "events", "Events of a whole stream")
	c.Int(&o.Unruly.StalledBodies, "", "stalled-bodies", "Callers beside the streams whose body stops a byte short of its length")
	c.Int(&o.Unruly.SmallChunks, "", "small-chunks", "Callers whose body comes in chunks of a byte and does not end")
	c.Int(&o.Unruly.HalfHeads, "", "half-heads", "Callers whose head does not end")
	c.Int(&o.Unruly.Unread, "", "unread", "Callers that read no answer")
	c.Int(&o.Unruly.BodyBytes, "", "body-bytes", "Length of the bodies of those callers")
	c.Bool(&o.Unruly.Remote, "", "unruly-remote", "Allow those callers at nodes that are not on a loopback address")
	c.Bool(&o.CutsViolate, "", "no-cuts", "Exit with 3 if a stream is cut off though its caller's time was not up")
	c.Float64(&o.PerSecond, "", "rate", "Streams per second")
	c.Duration(&o.Duration, "", "for", "How long streams begin")
	c.Duration(&o.Deadline, "", "deadline", "How long a caller waits for a whole stream")
	c.Int(&o.Attempts, "", "attempts", "Attempts of a caller")
	c.UInt64(&o.Seed, "", "seed", "Seed of the choice of nodes")
	return command{c, func(ctx context.Context) (int, error) {
		if modelHeader != "" {
			o.Header = http.Header{http.CanonicalHeaderKey(modelHeader): {model}}
			o.PassingHeader = modelHeader
		}
		return load(ctx, o)
	}}
}

// load runs the load and prints its result.
func load(ctx context.Context, o loadtest.Options) (int, error) {
	result, err := loadtest.Run(ctx, o)
	if err != nil {
		return exitUsage, err
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(result); err != nil {
		return exitFailed, err
	}
	if result.Violations() > 0 {
		return exitViolations, nil
	}
	return exitDone, nil
}
