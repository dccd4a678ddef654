package traffic

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/traffic/outlier"
	"martenwheel.dev/pkg/traffic/prefixcache"
)

// loadHalfLife is the age at which a load report counts half.
const loadHalfLife = 2 * time.Second

// server is what this node learned itself about a server that runs an engine.
// Safe for concurrent use.
type server struct {
	outliers *outlier.Tracker
	prefixes prefixcache.Index
	inFlight atomic.Int64 // own requests, of all models
	load     atomic.Pointer[engine.LoadReport]
	leaving  atomic.Pointer[string] // instance that said that it leaves; nil: none
}

// observeLoad takes in a load report unless a newer one is known.
func (s *server) observeLoad(report engine.LoadReport) {
	s.observeInstance(report.Instance)
	if report.Leaving {
		s.leaving.Store(&report.Instance)
	}
	known := s.load.Load()
	if known == nil || known.Instance != report.Instance || report.AsOf.After(known.AsOf) {
		s.load.Store(&report)
	}
}

// observeInstance ends the exclusion of a server on which another instance of
// the engine runs than the one that left.
func (s *server) observeInstance(instance string) {
	left := s.leaving.Load()
	if left != nil && instance != "" && *left != instance {
		s.leaving.CompareAndSwap(left, nil)
	}
}

// othersLoad estimates the requests that other nodes have on the server. The
// estimate falls with the age of the report.
func (s *server) othersLoad(now time.Time) float64 {
	report := s.load.Load()
	if report == nil {
		return 0
	}
	total := 0
	for _, model := range report.Models {
		total += model.Running + model.Queued
	}
	others := max(0, float64(total)-float64(s.inFlight.Load()))
	age := max(0, now.Sub(report.AsOf))
	return others * math.Exp2(-float64(age)/float64(loadHalfLife))
}

// reports tells whether the engine's last load report lists the model.
func (s *server) reports(model api.ModelName) bool {
	report := s.load.Load()
	if report == nil {
		return false
	}
	for _, loaded := range report.Models {
		if loaded.Model == model {
			return true
		}
	}
	return false
}

// servers is the table of all known servers. Safe for concurrent use.
type servers struct {
	config outlier.Config
	byID   sync.Map // api.ServerID to *server
}

// get returns the server, which is added if it is new.
func (s *servers) get(id api.ServerID) *server {
	if known, found := s.byID.Load(id); found {
		return known.(*server)
	}
	known, _ := s.byID.LoadOrStore(id, &server{outliers: outlier.New(s.config)})
	return known.(*server)
}

// forgetMissing drops the servers that are in no cell any more.
func (s *servers) forgetMissing(directory *Directory) {
	s.byID.Range(func(id, known any) bool {
		_, listed := directory.Servers[id.(api.ServerID)]
		if !listed && known.(*server).inFlight.Load() == 0 {
			s.byID.Delete(id)
		}
		return true
	})
}
