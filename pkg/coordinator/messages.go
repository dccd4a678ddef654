// Package coordinator decides which models are loaded on which servers. Every node sends heartbeats to
// the node that holds the lease, the coordinator, which is called the holder in this package. The holder
// tells the nodes of each other, collects which models are asked for, and orders servers to load and
// unload them.
//
// Files of every node (Member):
//
//   - member.go: heartbeats to the holder
//   - uses.go: the requests that a node reports with its heartbeats
//   - loadrequests.go: requests to the holder to load a model (load requests)
//   - locate.go: finding servers that this node does not know
//
// Files of the lease holder (Holder):
//
//   - holder.go: the loop to which the holder's state belongs
//   - plan.go: asks package policy what to load where; adapters.go places adapters
//   - orders.go: gives orders, one at a time to each server; reports.go finds out their outcome
//   - server.go: the state of one server; incarnations.go handles servers that restart under the same name
//   - handover.go: takes over from an earlier holder that went on without the store
//   - readytime.go: estimates when a model will be ready
//
// Files of both sides, each about one kind of exchange:
//
//   - heartbeats.go, roster.go: heartbeats, and the list of nodes that is sent as changes
//   - quotas.go: quotas of tenants
//   - places.go, slots.go: admission to overloaded servers and to servers with a request limit
//   - versions.go, solereads.go: services that one software version serves alone
//   - speeds.go, announcements.go: speeds of servers, and what servers announce (limits, leaving)
//   - quarantine.go, suspicions.go, crashingload.go: evidence against requests and models that crash servers
package coordinator

import (
	"time"

	"martenwheel.dev/pkg/admission"
	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/lease"
	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/revision"
)

// Node is a node of the site.
type Node struct {
	Name     string
	Life     int64 // increases with each incarnation of the node
	Zone     string
	Callers  string  // IP:port for callers
	Peers    string  // IP:port for other nodes
	Power    float64 // processor capacity in cores
	Stopping bool
	// Follows tells that the node subscribes to changes at other nodes, see package watch. Earlier builds
	// don't send it.
	Follows bool
}

// Use reports the requests that a node serves for one model of a service.
type Use struct {
	Service      string
	Model        string    // or "model/adapter"
	Running      []Running // where its requests run
	Arrivals     int       // requests since the last heartbeat
	Weight       float64   // sum of the arrivals' policy.UrgencyWeight
	Rate         float64   // recent arrivals per second; sent only with the first heartbeat to a holder
	WeightedRate float64   // Rate weighted by urgency; sent with Rate
}

// Running counts the requests of a node for a model that run at one server.
type Running struct {
	Server   string
	InFlight int
}

// Beat is a node's heartbeat to the holder, which reports the requests that the node serves.
type Beat struct {
	Node  Node
	Uses  []Use
	Knows NodesVersion // version of the list of nodes that the node has
	// Partial allows an answer with only the nodes that changed after Knows.
	Partial bool
	// Paged allows an answer with only the first of these nodes, and More set.
	Paged bool
	Store StoreLimit    // learned by an earlier holder; sent only with the first heartbeat to a holder
	Spent []quota.Spent // used of tenants' quotas since the last heartbeat
	// QuotasLeft is the balance of tenants' quotas at the end of this node's own term as the holder; sent once.
	QuotasLeft []quota.Balance
	// Evidence is the node's evidence against requests that crash servers.
	Evidence KnownEvidence
	Places   []admission.Report // all requests of the node at servers whose memory is configured
	Paces    []backend.Pace     // speeds of servers, measured in streams since the last heartbeat
	// KnowsPaces is the last change of servers' speeds that the node was sent.
	KnowsPaces PacesVersion
	Said       []Said // announced by servers to this node since the last heartbeat
	// KnowsSaid is the last change of servers' announcements that the node was sent.
	KnowsSaid SaidVersion
}

// NodesVersion identifies a state of the list of nodes.
type NodesVersion struct {
	Term   uint64
	Number uint64
}

// BeatAnswer answers a heartbeat. It lists the nodes of the site, unless the node has this version of the
// list. The term is zero if the node that was asked does not hold the lease.
type BeatAnswer struct {
	Version NodesVersion
	Nodes   []Node // empty: unchanged
	// Partial tells that Nodes holds only those that joined or changed after the version in the heartbeat;
	// Gone are the names of those that left.
	Partial bool
	Gone    []string
	More    bool       // further nodes changed after Version; the next answer lists them
	Scarce  bool       // models waited for a server recently: report replicas that become idle at once
	Store   StoreLimit // what was learned of the weight store, kept by the nodes for the next holder
	Fleet   int        // number of nodes that divide shared budgets; the recent maximum
	// StoreClock is the latest reading of the store's clock; zero: not known. Nodes that can't reach the
	// store tell by it how old their tables are.
	StoreClock time.Duration
	// ScarceTenants are the tenants whose requests need the holder's permission.
	ScarceTenants []string
	// Evidence is the holder's evidence against requests that crash servers.
	Evidence KnownEvidence
	// Crowded are the overloaded models, whose requests need the holder's permission.
	Crowded []admission.Key
	Paces   []backend.Slowness // slowness of the servers whose speed changed
	// PacesVersion is the last change that Paces include.
	PacesVersion PacesVersion
	Said         []Said // announcements of servers that changed
	// SaidVersion is the last change that Said includes.
	SaidVersion SaidVersion
	// Configuration is the configuration version in force at the holder; zero: none, or not reported.
	Configuration uint64
	// Sole are the software versions that serve a service alone.
	Sole []lineage.SoleVersion
	// SoleAsOf is the revision of the store at which those of Sole did so, or an earlier one; zero: unknown.
	SoleAsOf revision.Revision
}

// WishMessage asks the holder to load a model. It is called a load request in this package.
type WishMessage struct {
	Service   string
	Need      string // "model" or "model/adapter"
	Priority  int
	Left      time.Duration // until the deadline of the waiting request
	Missing   string        // server that answered that it does not hold the model
	Gone      bool          // Missing refused the connection
	Bound     bool          // only servers of one software version can serve the request
	Software  string        // the version, if Bound
	Short     string        // server that holds the model and rejects requests; empty: none is known
	ShortFor  time.Duration // how long Short will reject requests
	RequestID string
}

// WishAnswer tells when, or where, the model of a load request is ready.
type WishAnswer struct {
	Term    uint64 // zero: not the holder
	Server  string
	ReadyIn time.Duration
}

// Borrow asks the holder for permission to retry a request to the service.
type Borrow struct {
	Service string
}

// BorrowAnswer tells whether the retry is permitted.
type BorrowAnswer struct {
	Term uint64 // zero: not the holder
	Lent bool
}

// Notice tells nodes that a server now holds a model, or no longer does.
type Notice struct {
	Server string
	Need   string
	Holds  bool
}

// Announcement tells the nodes who holds the lease now.
type Announcement struct {
	Term    uint64
	Holder  string
	Address string
}

// Yield tells an earlier holder that another node took the lease. It is answered by a Handover.
type Yield struct {
	Term    uint64
	Holder  string
	Address string
}

// Handover holds the orders that an earlier holder hands to the next one.
type Handover struct {
	lease.Handover
}

func init() {
	peer.Register(Yield{}, Handover{}, Borrow{}, BorrowAnswer{}, Draw{}, DrawAnswer{}, DeputyDraw{}, QuotaNotice{}, Announcement{}, Beat{}, BeatAnswer{}, WishMessage{}, WishAnswer{}, Notice{})
}
