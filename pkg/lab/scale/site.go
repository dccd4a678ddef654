package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/tree"
)

// Sizes of the hollow site's models and servers.
const (
	gibibyte    = 1 << 30
	serverBytes = 640 * gibibyte
	seedNodes   = 3 // per region, that others join by
)

// Families of each service's models: hot ones stay loaded, cold ones fall idle
// a short time after a request.
const (
	hotFamily  = "hot"
	coldFamily = "cold"
)

// coldKeepAlive is the keep-alive of cold models.
const coldKeepAlive = 2 * time.Second

const (
	startPause    = 20 * time.Millisecond // between the starts of two nodes
	parallelLoads = 4                     // nodes that parse a tree at the same time
)

// hotEvery makes each fourth model a hot one.
const hotEvery = 4

// site is the hollow platform with its engines and nodes.
type site struct {
	config   Config
	random   *rand.Rand
	table    *hollowTable
	objects  *hollowObjects
	machines *hollowMachines
	engines  *hollowEngines
	nodes    []*hollowNode // that run
	parsing  chan struct{} // slots for nodes that parse a tree
}

// newSite makes the platform, its engines and the tree.
func newSite(ctx context.Context, config Config) (*site, error) {
	s := &site{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		table:    newHollowTable(),
		objects:  newHollowObjects(),
		machines: &hollowMachines{byRegion: make(map[string][]platform.Machine)},
		engines:  &hollowEngines{byAddress: make(map[string]*hollowEngine)},
		parsing:  make(chan struct{}, parallelLoads),
	}
	for index := range config.Servers {
		s.addServer(index)
	}
	_, err := tree.NewStore(s.table, s.objects).Commit(ctx, tree.Change{
		ID: "site", Author: "scale", At: time.Now(), Edits: s.treeEdits(),
	})
	return s, errors.WithMessage(err, "scale: tree of the site")
}

// place returns the region and zone of the node or server with an index.
func (s *site) place(index int) (region, zone string) {
	number := index % s.config.Zones
	return fmt.Sprintf("region-%d", number%s.config.Regions), fmt.Sprintf("zone-%02d", number)
}

func (s *site) serviceName(index int) string {
	return fmt.Sprintf("service-%d", index%s.config.Services)
}

// addServer adds a server. The servers of a zone are dealt to the services.
func (s *site) addServer(index int) {
	region, zone := s.place(index)
	e := &hollowEngine{
		id:       api.ServerID(fmt.Sprintf("server-%04d", index)),
		address:  fmt.Sprintf("10.%d.%d.%d:8000", index>>16, index>>8&0xff, index&0xff),
		capacity: serverBytes,
		items:    make(map[api.ModelName]hollowItem),
	}
	s.engines.byAddress[e.address] = e
	s.machines.byRegion[region] = append(s.machines.byRegion[region], platform.Machine{
		ID: string(e.id), Address: e.address, Service: s.serviceName(index / s.config.Zones), Zone: zone, Region: region,
		State: platform.MachineLive, Accelerator: "a", MemoryBytes: e.capacity, Instance: string(e.id),
	})
}

// treeModel is a model or adapter of the site's tree.
type treeModel struct {
	name    api.ModelName
	path    tree.Path
	service string
	hot     bool
}

// models returns the models of the tree; their adapters are not among them.
func (s *site) models() []treeModel {
	models := make([]treeModel, s.config.Models)
	for index := range models {
		name := fmt.Sprintf("model-%04d", index)
		m := treeModel{name: api.ModelName(name), service: s.serviceName(index)}
		m.hot = index/s.config.Services%hotEvery == 0
		family := coldFamily
		if m.hot {
			family = hotFamily
		}
		m.path = tree.RootPath.Child(m.service).Child(family).Child(name)
		models[index] = m
	}
	return models
}

// treeEdits returns the edits that make the tree of the site.
func (s *site) treeEdits() []tree.Edit {
	edits := []tree.Edit{
		{Path: tree.RootPath, Key: "policy", Value: "fixed-keepalive"},
		{Path: tree.RootPath, Key: "weight_load_rate", Value: "1000"},
		{Path: tree.RootPath, Key: "weight_full_speed", Value: "1000"},
		{Path: tree.RootPath, Key: "load_time", Value: hollowLoadTime.String()},
	}
	for index := range s.config.Services {
		service := tree.RootPath.Child(s.serviceName(index))
		for family, keepAlive := range map[string]time.Duration{hotFamily: 24 * time.Hour, coldFamily: coldKeepAlive} {
			path := service.Child(family)
			edits = append(edits,
				tree.Edit{Path: path, Key: "memory", Value: "10GiB"},
				tree.Edit{Path: path, Key: "keep_alive", Value: keepAlive.String()})
		}
	}
	models := s.models()
	for _, model := range models {
		edits = append(edits, tree.Edit{Path: model.path})
	}
	for index := range s.config.Adapters {
		base := models[index%len(models)]
		edits = append(edits, tree.Edit{Path: base.path.Child(fmt.Sprintf("adapter-%04d", index))})
	}
	return edits
}

// addNodes opens and starts the nodes, which join by the first of each region.
func (s *site) addNodes(ctx context.Context) error {
	registerMessages()
	var seeds []string
	for index := range s.config.Nodes {
		region, zone := s.place(index)
		node, err := openNode(s, api.NodeRef{
			ID:          api.NodeID(fmt.Sprintf("node-%03d", index)),
			Incarnation: uint64(time.Now().UnixNano()),
			Zone:        zone,
			Region:      region,
		})
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, node)
		if index < seedNodes*s.config.Regions {
			seeds = append(seeds, node.self.PeerAddress)
		}
	}
	if err := s.loadTrees(ctx); err != nil {
		return err
	}
	for index, node := range s.nodes {
		node.start(seeds, s.config.Seed+uint64(index))
		time.Sleep(startPause)
	}
	return nil
}

// loadTrees gives each node its first tree, as its bootstrap does. A few at a
// time: nodes share the processors here, and each parses the tree for itself.
func (s *site) loadTrees(ctx context.Context) error {
	loads := pool.New().WithMaxGoroutines(parallelLoads).WithErrors()
	for _, node := range s.nodes {
		loads.Go(func() error {
			first, err := node.store.Load(ctx)
			if err == nil {
				node.trees.Offer(first)
			}
			return err
		})
	}
	return loads.Wait()
}

// close ends all nodes.
func (s *site) close() {
	for _, node := range s.nodes {
		node.cancel()
	}
	for _, node := range s.nodes {
		node.kill()
	}
}
