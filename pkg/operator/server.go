package operator

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/gofiber/fiber/v2/utils"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits and timeouts of the API. Those named default apply where Config has a zero
// field.
const (
	maxBodyBytes     = 16 << 20
	commitTimeout    = 20 * time.Second
	readTimeout      = 10 * time.Second
	defaultTimeout   = 30 * time.Second
	defaultHeader    = 16 << 10
	defaultSockets   = 1000
	maxHistory       = 1000
	defaultHistory   = 20
	retryAfterOutage = 5 * time.Second
)

// Config configures a Server. All fields except the limits, the timeouts, Authorizer
// and TLS are required.
type Config struct {
	Trees      Trees
	Status     StatusSource
	Authorizer Authorizer // nil admits everyone, as operator "anonymous"
	Metrics    prometheus.Gatherer
	Logger     hclog.Logger
	Now        func() time.Time
	TLS        *tls.Config // nil means plain HTTP

	HeaderBytes  int
	Connections  int
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
}

// Server serves the operators' API.
type Server struct {
	config Config
	app    *fiber.App

	mutex    sync.Mutex
	listener net.Listener // set by Serve
	stopped  bool
}

// New returns a server that does not listen yet.
func New(config Config) *Server {
	server := &Server{config: config}
	server.app = fiber.New(fiber.Config{
		AppName:               "martenwheel operators",
		DisableStartupMessage: true,
		BodyLimit:             maxBodyBytes,
		ReadBufferSize:        orDefault(config.HeaderBytes, defaultHeader),
		Concurrency:           orDefault(config.Connections, defaultSockets),
		ReadTimeout:           orDefault(config.ReadTimeout, defaultTimeout),
		WriteTimeout:          orDefault(config.WriteTimeout, defaultTimeout),
		IdleTimeout:           orDefault(config.IdleTimeout, defaultTimeout),
		ErrorHandler:          answerError,
	})
	server.addRoutes()
	return server
}

// orDefault returns value, or initial if value is zero.
func orDefault[T comparable](value, initial T) T {
	var zero T
	if value == zero {
		return initial
	}
	return value
}

// addRoutes registers the handlers. The health checks come before authorize, so they
// need no API key.
func (s *Server) addRoutes() {
	s.app.Get(PathHealth, s.getHealth)
	s.app.Get(PathReady, s.getReady)
	s.app.Use(s.authorize)
	s.app.Get(PathTree, s.getTree)
	s.app.Get(PathEffective, s.getEffective)
	s.app.Get(PathExplain, s.getExplain)
	s.app.Get(PathHistory, s.getHistory)
	s.app.Get(PathDiff, s.getDiff)
	s.app.Post(PathEdits, s.postEdits)
	s.app.Get(PathStatus, s.getStatus)
	s.app.Get(PathMetrics, adaptor.HTTPHandler(promhttp.HandlerFor(s.config.Metrics, promhttp.HandlerOpts{})))
}

// Serve answers requests on listener until Shutdown. If Shutdown was called before, it
// closes the listener and returns.
func (s *Server) Serve(listener net.Listener) error {
	if s.config.TLS != nil {
		listener = tls.NewListener(listener, s.config.TLS)
	}
	if !s.start(listener) {
		return errors.Wrap(listener.Close(), "close the listener for operators")
	}
	err := s.app.Listener(listener)
	if s.isStopped() {
		return nil
	}
	return errors.Wrap(err, "serve operators")
}

// Shutdown closes the listener and waits until running requests are answered or ctx
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	listener := s.stop()
	err := s.app.ShutdownWithContext(ctx)
	if listener != nil {
		// If Serve has just begun, the HTTP library may not know the listener
		// yet and does not close it. Closing it twice is harmless.
		_ = listener.Close()
	}
	return errors.Wrap(err, "stop serving operators")
}

// start stores the listener. It returns false if Shutdown was called before.
func (s *Server) start(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listener = listener
	return !s.stopped
}

// stop records that Shutdown was called and returns the listener, or nil.
func (s *Server) stop() net.Listener {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	return s.listener
}

// isStopped reports whether Shutdown was called.
func (s *Server) isStopped() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopped
}

// operatorLocal is the key of the operator's name in the locals of a request.
const operatorLocal = "operator"

// authorize refuses requests without a valid API key.
func (s *Server) authorize(c *fiber.Ctx) error {
	if s.config.Authorizer == nil {
		c.Locals(operatorLocal, "anonymous")
		return c.Next()
	}
	key, isBearer := strings.CutPrefix(utils.CopyString(c.Get(fiber.HeaderAuthorization)), "Bearer ")
	operator, known := "", false
	if isBearer {
		operator, known = s.config.Authorizer.Authorize(key)
	}
	if !known {
		c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
		return &statusError{fiber.StatusUnauthorized, ErrorDetail{
			Code:    CodeUnauthorized,
			Message: "an operator's API key is needed: Authorization: Bearer KEY",
		}}
	}
	c.Locals(operatorLocal, operator)
	return c.Next()
}

// getHealth reports that the process is alive.
func (s *Server) getHealth(c *fiber.Ctx) error {
	return c.SendString("ok\n")
}

// getReady reports whether the node is ready to serve callers.
func (s *Server) getReady(c *fiber.Ctx) error {
	if err := s.config.Status.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready: " + err.Error() + "\n")
	}
	return c.SendString("ok\n")
}

// getStatus returns the state of the system.
func (s *Server) getStatus(c *fiber.Ctx) error {
	return c.JSON(s.config.Status.Status())
}
