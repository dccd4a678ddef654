package demo

import (
	"context"
	_ "embed"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/node"
	"martenwheel.dev/pkg/platform/dynamotable"
	"martenwheel.dev/pkg/platform/s3objects"
	"martenwheel.dev/pkg/settings"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/tree"
)

// Location and sizes of the demonstration's site.
const (
	region       = "local"
	service      = "assistant"
	anyPort      = "127.0.0.1:0"
	engineMemory = 24 << 30
	engineSpeed  = 1.0
	drainTime    = 5 * time.Second
	firstEditID  = "demo-site"
	secretKey    = "standin"
)

// zones lists the site's zones; each has one node and one engine.
var zones = []string{"zone-a", "zone-b", "zone-c"}

//go:embed site.yaml
var siteTree []byte

// site is a small site in this process: the platform, and one engine and one node in each zone.
type site struct {
	platform  *standin.PlatformServer
	engines   []*standin.EngineServer
	nodes     []*node.Node
	running   conc.WaitGroup
	stopFuncs []func() // one per node, in start order
}

// startSite starts all parts of the site. The nodes write their logs to logs as JSON lines.
func startSite(ctx context.Context, version string, logs io.Writer) (*site, error) {
	s := &site{}
	nodesContext := ctx
	steps := []func() error{
		s.startPlatform,
		s.startEngines,
		func() error { return s.writeTree(ctx) },
		func() error { return s.startNodes(nodesContext, version, logs) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// close shuts the nodes down one after the other, as an operator would: a node that shuts down
// hands over to the remaining ones, and would wait long for nodes that shut down at the same time.
// Then it stops the stand-ins.
func (s *site) close() {
	for _, stop := range s.stopFuncs {
		stop()
	}
	for _, engine := range s.engines {
		engine.Close()
	}
	if s.platform != nil {
		s.platform.Close()
	}
}

func (s *site) startPlatform() error {
	platform, err := standin.ListenPlatform(anyPort, standin.DefaultPlatformConfig())
	s.platform = platform
	return errors.Wrap(err, "start the platform's stand-in")
}

func (s *site) startEngines() error {
	for _, zone := range zones {
		config := standin.DefaultEngineConfig()
		config.ID = "server-" + zone
		config.Service = service
		config.Zone = zone
		config.Region = region
		config.Platform = s.platform.Address()
		config.Speed = engineSpeed
		config.MemoryBytes = engineMemory
		engine, err := standin.ListenEngine(anyPort, config)
		if err != nil {
			return errors.Wrap(err, "start an engine's stand-in")
		}
		s.engines = append(s.engines, engine)
	}
	return nil
}

// writeTree commits the site's tree to the store.
func (s *site) writeTree(ctx context.Context) error {
	endpoints := s.endpoints()
	objects, err := s3objects.New(s3objects.Config{
		Endpoint:  endpoints.Objects.Endpoint,
		Region:    endpoints.Table.Region,
		Bucket:    endpoints.Objects.Bucket,
		AccessKey: endpoints.Objects.AccessKey,
		SecretKey: string(endpoints.Objects.SecretKey),
	})
	if err != nil {
		return err
	}
	table := dynamotable.New(dynamotable.Config{
		Endpoint:  endpoints.Table.Endpoint,
		Region:    endpoints.Table.Region,
		Table:     endpoints.Table.Name,
		Partition: node.TablePartition,
		AccessKey: endpoints.Table.AccessKey,
		SecretKey: string(endpoints.Table.SecretKey),
	})
	wanted, err := tree.ParseNamed("site.yaml", siteTree)
	if err != nil {
		return err
	}
	change := tree.Change{ID: firstEditID, Author: "demo", At: time.Now(), Edits: tree.Diff(tree.Empty(), wanted)}
	_, err = tree.NewStore(table, objects).Commit(ctx, change)
	return errors.Wrap(err, "commit the first tree")
}

// endpoints returns the settings for connecting to the platform.
func (s *site) endpoints() settings.Platform {
	base := "http://" + s.platform.Address()
	platform := settings.Default().Platform
	platform.Table.Endpoint = base
	platform.Table.SecretKey = secretKey
	platform.Objects.Endpoint = base
	platform.Objects.SecretKey = secretKey
	platform.Machines.Endpoint = base
	return platform
}

// run runs a node until its stop function is called, which waits until the node has stopped.
func (s *site) run(ctx context.Context, started *node.Node) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	s.running.Go(func() {
		defer close(ended)
		_ = started.Run(ctx) // the node logs its error
	})
	s.stopFuncs = append(s.stopFuncs, func() {
		cancel()
		<-ended
	})
}

func (s *site) startNodes(ctx context.Context, version string, logs io.Writer) error {
	var seeds []string
	for _, zone := range zones {
		started, err := node.New(node.Options{Settings: s.nodeSettings(zone, seeds), Version: version, Logs: logs})
		if err != nil {
			return errors.Wrap(err, "start a node")
		}
		s.nodes = append(s.nodes, started)
		seeds = append(seeds, started.Addresses().Peers)
		s.run(ctx, started)
	}
	return nil
}

func (s *site) nodeSettings(zone string, seeds []string) settings.Settings {
	config := settings.Default()
	config.Node = settings.Node{ID: api.NodeID("node-" + zone), Zone: zone, Region: region}
	config.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
	config.Seeds = append([]string(nil), seeds...)
	config.Platform = s.endpoints()
	config.DrainTime = drainTime
	return config
}
