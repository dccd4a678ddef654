package gateway

import (
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
)

// accessLogQueue is the number of lines that may wait to be written.
const accessLogQueue = 1024

// accessLog writes the lines about requests from a goroutine of its own, so
// that no caller waits for them.
type accessLog struct {
	logger hclog.Logger
	lines  chan []any
	writer conc.WaitGroup
	closed chan struct{}
}

func newAccessLog(logger hclog.Logger) *accessLog {
	l := &accessLog{logger: logger, lines: make(chan []any, accessLogQueue), closed: make(chan struct{})}
	l.writer.Go(l.run)
	return l
}

// run writes lines until the log is closed and empty.
func (l *accessLog) run() {
	for {
		select {
		case fields := <-l.lines:
			l.logger.Info("request", fields...)
		case <-l.closed:
			l.flush()
			return
		}
	}
}

// flush writes the lines that wait.
func (l *accessLog) flush() {
	for {
		select {
		case fields := <-l.lines:
			l.logger.Info("request", fields...)
		default:
			return
		}
	}
}

// write logs the line. If too many wait, the caller waits for its own.
func (l *accessLog) write(fields []any) {
	select {
	case l.lines <- fields:
	default:
		l.logger.Info("request", fields...)
	}
}

// close writes what waits. It is safe more than once.
func (l *accessLog) close() {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	l.writer.Wait()
}
