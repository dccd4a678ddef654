package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/platform"
)

// registerRetryInterval is the wait before another attempt to register with the
// platform.
const registerRetryInterval = 200 * time.Millisecond

// server is an HTTP server with a listener.
type server struct {
	address string
	http    *http.Server
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

// listen starts serving handler on address (IP:port, port 0 for any). The
// returned context ends when the server is closed.
func listen(address string, handler http.Handler) (*server, context.Context, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		address: listener.Addr().String(),
		http:    &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second},
		cancel:  cancel,
	}
	s.group.Go(func() { _ = s.http.Serve(listener) }) // returns on Close
	return s, ctx, nil
}

// Address returns the IP:port of the listener.
func (s *server) Address() string {
	return s.address
}

// Close stops the server at once, as a crash would.
func (s *server) Close() {
	s.cancel()
	_ = s.http.Close()
	s.group.Wait()
}

// PlatformServer is a Platform with a listener.
type PlatformServer struct {
	*Platform
	*server
}

// ListenPlatform starts a platform on address (IP:port, port 0 for any).
func ListenPlatform(address string, config PlatformConfig) (*PlatformServer, error) {
	p := NewPlatform(config)
	s, _, err := listen(address, p.Handler())
	if err != nil {
		return nil, err
	}
	return &PlatformServer{Platform: p, server: s}, nil
}

// EngineServer is an Engine with a listener.
type EngineServer struct {
	*Engine
	*server
}

// ListenEngine starts an engine on address (IP:port, port 0 for any) and puts it
// on the machine list of the config's platform as soon as the platform answers.
func ListenEngine(address string, config EngineConfig) (*EngineServer, error) {
	var weights WeightSource
	if config.Platform != "" {
		weights = newWeightClient(config.Platform)
	}
	e := NewEngine(config, weights)
	s, ctx, err := listen(address, e.Handler())
	if err != nil {
		return nil, err
	}
	s.group.Go(func() { e.Run(ctx) })
	engineServer := &EngineServer{Engine: e, server: s}
	if engineServer.register(ctx, platform.MachineLive) != nil {
		s.group.Go(func() { engineServer.keepRegistering(ctx) })
	}
	s.group.Go(func() { engineServer.registerWhenLeaving(ctx) })
	return engineServer, nil
}

// Machine returns the engine's entry in the list of machines.
func (s *EngineServer) Machine(state platform.MachineState) platform.Machine {
	return platform.Machine{
		ID:          s.config.ID,
		Address:     s.address,
		Service:     s.config.Service,
		Zone:        s.config.Zone,
		Region:      s.config.Region,
		State:       state,
		Accelerator: s.config.Accelerator,
		MemoryBytes: s.config.MemoryBytes,
		Instance:    s.state.instance,
	}
}

func (s *EngineServer) register(ctx context.Context, state platform.MachineState) error {
	if s.config.Platform == "" {
		return nil
	}
	return errors.Wrap(registerMachine(ctx, s.config.Platform, s.Machine(state)), "register with the platform")
}

// keepRegistering retries until the platform has listed the engine.
func (s *EngineServer) keepRegistering(ctx context.Context) {
	for s.register(ctx, platform.MachineLive) != nil {
		select {
		case <-time.After(registerRetryInterval):
		case <-s.leavingStarted:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *EngineServer) registerWhenLeaving(ctx context.Context) {
	select {
	case <-s.leavingStarted:
		_ = s.register(ctx, platform.MachineLeaving) // on failure the engine still refuses new work
	case <-ctx.Done():
	}
}

// Stop makes the engine refuse new work, waits until its requests are done or
// ctx ends, and closes the server.
func (s *EngineServer) Stop(ctx context.Context) {
	s.Leave()
	s.WaitIdle(ctx)
	_ = s.register(ctx, platform.MachineGone) // on failure others notice that the engine is unreachable
	_ = s.http.Shutdown(ctx)                  // Close ends the remaining connections
	s.Close()
}
