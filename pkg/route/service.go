package route

import "time"

// Service is a group of servers that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // per server, from all nodes together; zero: no limit
	// ColdTime is how long a server is cold after a start. During this time it can serve
	// ColdPerSecond requests and crashes under a much higher rate. Zero means that it can serve
	// its full rate at once.
	ColdTime      time.Duration
	ColdPerSecond float64
	Engine        *Engine // nil: a plain HTTP service
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots          int    // requests that a server runs at once
	WeightBytes    uint64 // memory of a server for weights and adapters
	AdapterPlaces  int    // adapters that a server holds at once
	LoadsPerSecond float64
	Models         map[string]*Model

	CacheTokens   int           // capacity of a server for running requests and cached prompts together; zero: unknown
	BytesPerToken float64       // memory per token of a run that is copied to another server; zero: unknown
	LinkBytes     float64       // bytes per second at which a server sends copies; zero: unknown
	Moves         bool          // running requests may be moved to another server
	Backups       bool          // servers may send backup copies of running requests to another server
	EventTokens   int           // tokens per event of a stream; zero: unknown
	HandleTime    time.Duration // how long a server keeps an unused copy
}

// Model is a model that an engine can load.
type Model struct {
	Name         string
	Bytes        uint64
	AdapterBytes uint64
	Adapters     int
	LoadTime     time.Duration // time to load it from the weight store
	DiskTime     time.Duration // time to load it from the server's disk
	MemoryTime   time.Duration // time to load it from the server's memory
}
