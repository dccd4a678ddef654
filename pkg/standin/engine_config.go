package standin

import (
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// EngineConfig configures an engine. Start from DefaultEngineConfig: zero fields
// are not replaced by defaults, except that a Speed of zero means one.
type EngineConfig struct {
	ID          string // of the machine
	Service     string
	Zone        string
	Region      string
	Accelerator string
	Platform    string  // IP:port of the platform, empty for none
	Speed       float64 // simulated seconds per second

	// MemoryBytes is the capacity for weights, adapters and the part of the KV
	// cache that exceeds KVReserveBytes. The reserve is additional memory that
	// holds KV cache only.
	MemoryBytes      uint64
	KVReserveBytes   uint64
	KVBytesPerToken  uint64
	PrefixCacheBytes uint64 // capacity of the prefix cache

	TokensPerSecond        float64 // decoding rate of a request that runs alone
	BatchSlowdown          float64 // a batch of n decodes 1+BatchSlowdown*(n-1) times slower
	MaxBatch               int
	PrefillTokensPerSecond float64 // shared by the requests in prefill
	DefaultMaxTokens       int     // for requests that set no limit
	MaxTokens              int     // largest limit of a request
	ResumeWindow           time.Duration

	ParallelLoads        int
	UnloadTime           time.Duration
	HostCacheBytes       uint64 // capacity for checkpoints in the host's memory
	HostBytesPerSecond   float64
	DiskCacheBytes       uint64 // capacity for checkpoints on the local disk
	DiskBytesPerSecond   float64
	RemoteBytesPerSecond float64 // without a weight store

	LoadReportLag time.Duration
	CacheEventLag time.Duration
	CacheEventGap float64 // fraction of the cache events that are lost
	Seed          uint64  // of the random choice of lost cache events

	Logger hclog.Logger // gets one line per request; nil for none
}

// DefaultEngineConfig returns the configuration of an engine with 80 GiB of
// memory.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		Speed:                  1,
		Accelerator:            "standin-80g",
		MemoryBytes:            80 * gibibyte,
		KVReserveBytes:         8 * gibibyte,
		KVBytesPerToken:        128 * kibibyte,
		PrefixCacheBytes:       2 * gibibyte,
		TokensPerSecond:        60,
		BatchSlowdown:          0.03,
		MaxBatch:               64,
		PrefillTokensPerSecond: 20000,
		DefaultMaxTokens:       32,
		MaxTokens:              8192,
		ResumeWindow:           30 * time.Second,
		ParallelLoads:          2,
		UnloadTime:             300 * time.Millisecond,
		HostCacheBytes:         64 * gibibyte,
		HostBytesPerSecond:     20 * gibibyte,
		DiskCacheBytes:         512 * gibibyte,
		DiskBytesPerSecond:     5 * gibibyte,
		RemoteBytesPerSecond:   2 * gibibyte,
		LoadReportLag:          500 * time.Millisecond,
		CacheEventLag:          time.Second,
		CacheEventGap:          0.05,
		Seed:                   1,
	}
}
