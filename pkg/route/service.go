package route

import "time"

// Service is a group of servers that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that a server takes from all nodes together; zero: no limit
	// ColdTime is for how long a server is cold after a start, in which it bears ColdPerSecond
	// requests and falls over under many more; zero: it bears all at once.
	ColdTime      time.Duration
	ColdPerSecond float64
	Engine        *Engine // nil: a plain HTTP service
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int    // requests that a server runs at once
	WeightBytes    uint64 // of a server, for weights and adapters
	AdapterPlaces  int    // adapters that a server holds at once
	LoadsPerSecond float64
	Models         map[string]*Model

	CacheTokens   int           // that a server's running requests and kept prompts take together; zero: not told
	BytesPerToken float64       // of a run's memory when it is copied to another server; zero: not told
	LinkBytes     float64       // a second, that a server sends of copies; zero: not told
	Moves         bool          // running requests may be moved to another server
	Backups       bool          // servers may send copies of what they run to another one
	EventTokens   int           // in one event of a stream; zero: not told
	HandleTime    time.Duration // for which a server keeps a copy that nobody uses
}

// Model is a model that an engine can load.
type Model struct {
	Name         string
	Bytes        uint64
	AdapterBytes uint64
	Adapters     int
	LoadTime     time.Duration // from the weight store
	DiskTime     time.Duration // from the server's disk
	MemoryTime   time.Duration // from the server's memory
}
