package telemetry

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Names of log fields that several packages use. FieldRequestID allows tracing a
// request across processes.
const (
	FieldNode      = "node"
	FieldRequestID = "request_id"
	FieldModel     = "model"
	FieldRevision  = "revision"
	FieldServer    = "server"
	FieldCell      = "cell"
	FieldError     = "error"
)

// LogOptions configures a logger.
type LogOptions struct {
	Name   string    // name of the program, such as "martenwheel"
	Node   string    // name of this node; empty for a program that is not a node
	Level  string    // "trace", "debug", "info", "warn", "error" or "off"
	Output io.Writer // gets one JSON object per line
}

// ParseLevel returns the level with the given name, in lower or upper case. An
// unknown name is an error.
func ParseLevel(name string) (hclog.Level, error) {
	level := hclog.LevelFromString(name)
	if level == hclog.NoLevel {
		return hclog.NoLevel, errors.Errorf("log level %q is none of trace, debug, info, warn, error, off", name)
	}
	return level, nil
}

// NewLogger returns a logger that writes one JSON object per line, with the
// node's name in each. It fails for an unknown level.
func NewLogger(options LogOptions) (hclog.Logger, error) {
	level, err := ParseLevel(options.Level)
	if err != nil {
		return nil, err
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       options.Name,
		Level:      level,
		Output:     options.Output,
		JSONFormat: true,
	})
	if options.Node != "" {
		logger = logger.With(FieldNode, options.Node)
	}
	return logger, nil
}
