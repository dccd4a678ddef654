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

// Parameters of the half-life of load reports. It is shorter than the time that a request
// holds its slot: all nodes react to the same report, so that together they balance the
// load that it shows long before the requests in it have ended.
const (
	reportHalfLifeShare = 0.3 // half-life as a share of the mean hold time
	minReportHalfLife   = 50 * time.Millisecond
	maxReportHalfLife   = 10 * time.Second
	assumedHoldTime     = 2 * time.Second // hold time until one is measured
)

// reportHalfLife returns the half-life of load reports for a model with the mean hold
// time hold.
func reportHalfLife(hold time.Duration) time.Duration {
	if hold == 0 {
		hold = assumedHoldTime
	}
	halfLife := time.Duration(reportHalfLifeShare * float64(hold))
	return max(minReportHalfLife, min(halfLife, maxReportHalfLife))
}

// decay returns the value after exponential decay over its age.
func decay(value float64, age, halfLife time.Duration) float64 {
	return value * math.Exp2(-float64(max(0, age))/float64(halfLife))
}

// server is what this node itself knows about a server that runs an engine. It is safe
// for concurrent use.
type server struct {
	outliers   *outlier.Tracker
	prefixes   prefixcache.Index
	inFlight   atomic.Int64                      // requests of this node, of all models
	load       atomic.Pointer[engine.LoadReport] // latest load report; nil: none
	leaving    atomic.Pointer[string]            // engine instance that reported that it leaves; nil: none
	answeredAt atomic.Int64                      // Unix nanoseconds of the last answer to this node
}

// answerValidity is how long an answer to this node outweighs the owner's report that a
// server is unreachable.
const answerValidity = 3 * time.Second

// observeAnswer records that the engine answered this node.
func (s *server) observeAnswer(now time.Time) {
	s.answeredAt.Store(now.UnixNano())
}

// unreachable reports whether requests to the server would hang: its owner can't reach
// it, and it has not answered this node recently either.
func (s *server) unreachable(now time.Time, view api.ServerView) bool {
	return !view.Reachable && now.Sub(time.Unix(0, s.answeredAt.Load())) >= answerValidity
}

// observeLoad records a load report, unless a newer one of the same instance is known.
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

// observeRefusal records that the engine refused a request because it is leaving. Its
// instance is taken from the last load report.
func (s *server) observeRefusal() {
	instance := ""
	if report := s.load.Load(); report != nil {
		instance = report.Instance
	}
	s.leaving.CompareAndSwap(nil, &instance)
}

// observeInstance ends the exclusion of a leaving server if it runs another instance of
// the engine than the one that left.
func (s *server) observeInstance(instance string) {
	left := s.leaving.Load()
	if left != nil && instance != "" && *left != instance {
		s.leaving.CompareAndSwap(left, nil)
	}
}

// othersLoad estimates the number of requests that other nodes have on the server. The
// estimate decays with the age of the report.
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

// reportsModel reports whether the engine's last load report lists the model.
func (s *server) reportsModel(model api.ModelName) bool {
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

// servers is the table of all known servers. It is safe for concurrent use.
type servers struct {
	config outlier.Config
	byID   sync.Map // api.ServerID to *server
}

// get returns the server and adds it if necessary.
func (s *servers) get(id api.ServerID) *server {
	if known, found := s.byID.Load(id); found {
		return known.(*server)
	}
	known, _ := s.byID.LoadOrStore(id, &server{outliers: outlier.New(s.config)})
	return known.(*server)
}

// forgetMissing deletes the idle servers that are no longer in any cell.
func (s *servers) forgetMissing(directory *Directory) {
	s.byID.Range(func(id, known any) bool {
		_, listed := directory.Servers[id.(api.ServerID)]
		if !listed && known.(*server).inFlight.Load() == 0 {
			s.byID.Delete(id)
		}
		return true
	})
}
