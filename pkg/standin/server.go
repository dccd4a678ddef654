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

// tellPlatformInterval is the wait before the platform is told again.
const tellPlatformInterval = 200 * time.Millisecond

// server serves a handler on an address.
type server struct {
	address string
	http    *http.Server
	cancel  context.CancelFunc
	group   conc.WaitGroup
}

// listen starts to serve handler on address (IP:port; port 0 lets the kernel
// choose).
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

// Address returns the IP:port that is served.
func (s *server) Address() string {
	return s.address
}

// Close ends the server at once, as a crash would.
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

// ListenEngine starts an engine on address (IP:port, port 0 for any) and
// enters it into the list of the config's platform, as soon as that answers.
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
	if engineServer.tellPlatform(ctx, platform.MachineLive) != nil {
		s.group.Go(func() { engineServer.keepTelling(ctx) })
	}
	s.group.Go(func() { engineServer.tellWhenLeaving(ctx) })
	return engineServer, nil
}

// Machine returns the entry of the engine in the list of machines.
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

func (s *EngineServer) tellPlatform(ctx context.Context, state platform.MachineState) error {
	if s.config.Platform == "" {
		return nil
	}
	return errors.Wrap(tellPlatform(ctx, s.config.Platform, s.Machine(state)), "tell the platform")
}

// keepTelling enters the engine into the list once the platform answers.
func (s *EngineServer) keepTelling(ctx context.Context) {
	for s.tellPlatform(ctx, platform.MachineLive) != nil {
		select {
		case <-time.After(tellPlatformInterval):
		case <-s.left:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *EngineServer) tellWhenLeaving(ctx context.Context) {
	select {
	case <-s.left:
		_ = s.tellPlatform(ctx, platform.MachineLeaving) // the engine itself refuses new work
	case <-ctx.Done():
	}
}

// Stop lets the engine leave, waits until its requests are done or ctx ends,
// and closes it.
func (s *EngineServer) Stop(ctx context.Context) {
	s.Leave()
	s.WaitIdle(ctx)
	_ = s.tellPlatform(ctx, platform.MachineGone) // it is seen to be gone otherwise
	_ = s.http.Shutdown(ctx)                      // Close ends what is left
	s.Close()
}
