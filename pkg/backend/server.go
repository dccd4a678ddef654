// Package backend holds a node's view of the model servers: which exist, which models each holds, their
// condition, and the connections to them. Start reading at directory.go; conn.go carries one request at a
// time over a pooled connection.
package backend

import (
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/revision"
)

// Server is the platform's record of one incarnation of a server. It is immutable.
type Server struct {
	ID       string // ID of the incarnation; a restarted server has another one
	Service  string
	Address  string // IP:port
	Zone     string
	Software string // version of the server's software; empty: not reported
	Slots    int
	Draining bool
	LeaveAt  time.Time // when a server that leaves at short notice will be gone; zero: none announced
	// ColdUntil is when the server stops being cold after a start; zero: it is not cold.
	ColdUntil time.Time
	Models    []Holding
	InMemory  []string          // models whose weights are in the server's memory
	OnDisk    []string          // models whose weights are on the server's disk
	Version   revision.Revision // version of the record
	Written   float64           // counter that the server put into the record; it rises within one incarnation
}

// Incarnation returns the incarnation that the server's ID identifies.
func (s *Server) Incarnation() Incarnation { return ParseIncarnation(s.ID) }

// Instance returns the name of the server, which its next incarnation may share.
func (s *Server) Instance() string { return s.Incarnation().Instance }

// isSameProcess reports whether a later record with the same ID is of the same process: a process keeps its
// address and its software.
func (s *Server) isSameProcess(later *Server) bool {
	return s.Address == later.Address && s.Software == later.Software
}

// Holding is a model that a server holds, with its adapters.
type Holding struct {
	Model    string
	Version  uint64
	Adapters []string
}

// Need is what a server must hold to serve a request. The zero value needs nothing.
type Need struct {
	Model   string
	Adapter string // empty: the base model
}

// adapterSeparator separates a model from its adapter in the text form of a Need.
const adapterSeparator = "/"

// ParseNeed parses "model" or "model/adapter".
func ParseNeed(text string) Need {
	model, adapter, _ := strings.Cut(text, adapterSeparator)
	return Need{Model: model, Adapter: adapter}
}

// String is the inverse of ParseNeed.
func (n Need) String() string {
	if n.Adapter == "" {
		return n.Model
	}
	return n.Model + adapterSeparator + n.Adapter
}

// Holds reports whether the server holds what a request needs.
func (s *Server) Holds(n Need) bool {
	if n.Model == "" {
		return true
	}
	for i := range s.Models {
		if s.Models[i].Model == n.Model {
			return n.Adapter == "" || slices.Contains(s.Models[i].Adapters, n.Adapter)
		}
	}
	return false
}
