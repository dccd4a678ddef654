package site

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/clock"
	"martenwheel.dev/pkg/quarantine"
)

// operatorHandler serves the metrics and the quarantine list, and lifts quarantines for clients on this machine.
func (s *Site) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /quarantine", s.listQuarantine)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", s.liftQuarantine)
	return mux
}

// quarantineLine is an entry of the quarantine list: a request during which servers crashed, or a part of the prompts of
// many.
type quarantineLine struct {
	Fingerprint string   `json:"fingerprint"`
	Part        string   `json:"part,omitempty"` // ID of the part
	Service     string   `json:"service"`
	Standing    string   `json:"standing"`
	Servers     []string `json:"ended_under_it"`
}

func (s *Site) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	lines := []quarantineLine{}
	for _, e := range s.member.Evidence() {
		if standing := s.member.Standing(e.Request); standing != quarantine.Free {
			lines = append(lines, quarantineLine{e.Request.String(), e.Part, e.Service, standing.String(), e.Servers()})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lines) // fails only if the client is gone
}

// liftQuarantine permits a request or a part of prompts again, on all nodes. Only clients on this machine may do so: one
// that crashes servers costs three more before it is in quarantine again.
func (s *Site) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	if !fromThisMachine(r) {
		http.Error(w, "only from the node's own machine", http.StatusForbidden)
		return
	}
	f, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.member.LiftQuarantine(f) {
		http.Error(w, "no servers are known to have ended under this request or part", http.StatusNotFound)
	}
}

// fromThisMachine reports whether a request came from the same IP address that it was sent to, or over
// loopback.
func fromThisMachine(r *http.Request) bool {
	from, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	if ip := net.ParseIP(from); ip != nil && ip.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	to, _, err := net.SplitHostPort(local.String())
	return err == nil && to == from
}

// registerQuarantine registers gauges of the suspected and the quarantined requests.
func registerQuarantine(registry prometheus.Registerer, known *quarantine.Table) {
	for _, standing := range []quarantine.Standing{quarantine.Suspected, quarantine.Quarantined} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "martenwheel", Name: "quarantine_requests", Help: "Requests and parts of prompts under which servers ended.",
			ConstLabels: prometheus.Labels{"standing": standing.String()},
		}, func() float64 { return float64(known.Count(clock.Now(), standing)) }))
	}
}

// registerBackpressure registers gauges of the servers that currently signal backpressure, as far as this node knows.
func registerBackpressure(registry prometheus.Registerer, servers *backend.Directory) {
	for signal, active := range map[string]func(*backend.Member) bool{
		"limit":   func(m *backend.Member) bool { return m.Limited() },
		"rest":    func(m *backend.Member) bool { return m.BackOff(clock.Now()) > 0 },
		"leaving": func(m *backend.Member) bool { return m.SharedSignals().Leaving },
	} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: "martenwheel", Name: "servers_asking", Help: "Servers that ask for something in their answers.",
			ConstLabels: prometheus.Labels{"word": signal},
		}, func() float64 {
			n := 0
			for _, m := range servers.Snapshot().Members() {
				if active(m) {
					n++
				}
			}
			return float64(n)
		}))
	}
}
