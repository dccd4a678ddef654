// Package backend knows the servers behind a node: which there are, what each
// holds and how it does, and the connections to them. Begin with directory.go;
// conn.go carries one request at a time over a pooled connection.
package backend

import (
	"slices"
	"strings"
	"time"

	"martenwheel.dev/pkg/revision"
)

// Server is what the platform tells of one life of a server. It is immutable.
type Server struct {
	ID       string // of this life, see Life; a restarted server has another one
	Service  string
	Address  string // IP:port
	Zone     string
	Slots    int
	Draining bool
	LeaveAt  time.Time // when a server that leaves at short notice is gone; else zero
	// ColdUntil is when it stops to be cold after a start; zero: it is not.
	ColdUntil time.Time
	Models    []Holding
	InMemory  []string          // models whose weights lie in the server's memory
	OnDisk    []string          // models whose weights lie on its disk
	Version   revision.Revision // of the record that tells this
	Written   float64           // the server's own count as it wrote the record, which rises in one life
}

// Life returns which life of a server this is.
func (s *Server) Life() Life { return ParseLife(s.ID) }

// Instance returns the name that the server answers to. Its next life may have it as well.
func (s *Server) Instance() string { return s.Life().Instance }

// Holding is a model that a server holds, with its adapters.
type Holding struct {
	Model    string
	Version  uint64
	Adapters []string
}

// Need is what a server must hold to serve a request. The zero value needs
// nothing.
type Need struct {
	Model   string
	Adapter string // empty: the model alone
}

// adapterSeparator stands between a model and its adapter in a Need's text.
const adapterSeparator = "/"

// ParseNeed reads "model" or "model/adapter".
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

// Holds tells whether the server holds what a request needs.
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
