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

// A load report counts half at the age of reportTrust times the time that a
// request holds its place. All nodes follow the same report, so that together
// they even out what it shows long before the requests in it have ended.
const (
	reportTrust       = 0.3
	minReportHalfLife = 50 * time.Millisecond
	maxReportHalfLife = 10 * time.Second
	assumedHold       = 2 * time.Second // while it is not measured
)

// reportHalfLife returns the half-life of load reports for a model's hold.
func reportHalfLife(hold time.Duration) time.Duration {
	if hold == 0 {
		hold = assumedHold
	}
	halfLife := time.Duration(reportTrust * float64(hold))
	return max(minReportHalfLife, min(halfLife, maxReportHalfLife))
}

// decay returns what is left of a value after a time.
func decay(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-float64(max(0, age))/float64(halfLife))
}

// server is what this node learned itself about a server that runs an engine.
// Safe for concurrent use.
type server struct {
	outliers *outlier.Tracker
	prefixes prefixcache.Index
	inFlight atomic.Int64 // own requests, of all models
	load     atomic.Pointer[engine.LoadReport]
	leaving  atomic.Pointer[string] // instance that said that it leaves; nil: none
	answered atomic.Int64           // Unix nanoseconds of the last answer to this node
}

// ownEvidence is how long an answer to this node outweighs the owner's word
// that a server is out of reach.
const ownEvidence = 3 * time.Second

// observeAnswer notes that the engine answered this node.
func (s *server) observeAnswer(now time.Time) {
	s.answered.Store(now.UnixNano())
}

// unreachable tells whether requests to the server would hang: its owner cannot
// reach it, and this node has had no answer of it lately either.
func (s *server) unreachable(now time.Time, view api.ServerView) bool {
	return !view.Reachable && now.Sub(time.Unix(0, s.answered.Load())) >= ownEvidence
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

// observeRefusal notes that the engine refused a request because it is leaving.
// Its instance is that of the last load report.
func (s *server) observeRefusal() {
	instance := ""
	if report := s.load.Load(); report != nil {
		instance = report.Instance
	}
	s.leaving.CompareAndSwap(nil, &instance)
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
func (s *server) othersLoad(now time.Time, halfLife time.Duration) float64 {
	report := s.load.Load()
	if report == nil {
		return 0
	}
	total := 0
	for _, model := range report.Models {
		total += model.Running + model.Queued
	}
	others := max(0, float64(total)-float64(s.inFlight.Load()))
	return decay(others, now.Sub(report.AsOf), halfLife)
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
