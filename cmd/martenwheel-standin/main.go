// Command martenwheel-standin runs a stand-in for the platform or for a model engine, for tests and
// experiments.
//
// It prints {"address":"IP:port"} as one line on stdout when it is ready, logs JSON lines to
// stderr, and stops on SIGTERM or an interrupt: an engine announces that it leaves, finishes its
// requests and exits. Exit codes: 0 after a stop, 1 if it could not start, 2 for invalid flags.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/integrii/flaggy"

	"martenwheel.dev/pkg/standin"
)

// Exit codes.
const (
	exitStopped  = 0
	exitNotReady = 1
	exitUsage    = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run starts the stand-in that the arguments select and waits for a stop signal.
func run(arguments []string, stdout, stderr io.Writer) int {
	options := newOptions()
	if err := options.parse(arguments); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: "standin", Output: stderr, JSONFormat: true})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if options.platformCommand.Used {
		return runPlatform(ctx, options, stdout, logger)
	}
	return runEngine(ctx, options, stdout, logger)
}

func runPlatform(ctx context.Context, options *options, stdout io.Writer, logger hclog.Logger) int {
	server, err := standin.ListenPlatform(options.listen.String(), options.platform)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitNotReady
	}
	announce(stdout, logger, server.Address())
	<-ctx.Done()
	server.Close()
	logger.Info("stopped")
	return exitStopped
}

func runEngine(ctx context.Context, options *options, stdout io.Writer, logger hclog.Logger) int {
	options.engine.Logger = logger
	server, err := standin.ListenEngine(options.listen.String(), options.engine)
	if err != nil {
		logger.Error("cannot start", "error", err)
		return exitNotReady
	}
	announce(stdout, logger, server.Address())
	<-ctx.Done()
	logger.Info("leaving")
	stopContext, cancel := context.WithTimeout(context.Background(), options.stopTimeout)
	defer cancel()
	server.Stop(stopContext)
	logger.Info("stopped")
	return exitStopped
}

// announcement is the line on stdout with the address that the stand-in listens on.
type announcement struct {
	Address string `json:"address"`
}

func announce(stdout io.Writer, logger hclog.Logger, address string) {
	if err := json.NewEncoder(stdout).Encode(announcement{Address: address}); err != nil {
		logger.Warn("cannot print the address", "error", err)
	}
	logger.Info("ready", "address", address)
}

// options holds the subcommands and their flags.
type options struct {
	parser          *flaggy.Parser
	platformCommand *flaggy.Subcommand
	engineCommand   *flaggy.Subcommand
	listen          netip.AddrPort
	platformAddress netip.AddrPort
	stopTimeout     time.Duration
	platform        standin.PlatformConfig
	engine          standin.EngineConfig
}

func newOptions() *options {
	o := &options{
		parser:          flaggy.NewParser("martenwheel-standin"),
		platformCommand: flaggy.NewSubcommand("platform"),
		engineCommand:   flaggy.NewSubcommand("engine"),
		listen:          netip.MustParseAddrPort("127.0.0.1:0"),
		stopTimeout:     time.Minute,
		platform:        standin.DefaultPlatformConfig(),
		engine:          standin.DefaultEngineConfig(),
	}
	o.parser.Description = "Runs a stand-in for the platform or for a model engine."
	o.parser.AdditionalHelpAppend = "\n  Example: martenwheel-standin engine --id=a1 --service=assistant --zone=a --region=uy-south --platform=127.0.0.1:8000"
	o.platformCommand.Description = "weight store, table service, object store and list of machines"
	o.engineCommand.Description = "a model engine"
	o.addPlatformFlags(o.platformCommand)
	o.addEngineFlags(o.engineCommand)
	o.parser.AttachSubcommand(o.platformCommand, 1)
	o.parser.AttachSubcommand(o.engineCommand, 1)
	return o
}

const listenHelp = "IP:port to listen on; port 0 for any"
const speedHelp = "simulated seconds per second"

func (o *options) addPlatformFlags(command *flaggy.Subcommand) {
	command.NetipAddrPort(&o.listen, "l", "listen", listenHelp)
	command.Float64(&o.platform.Speed, "", "speed", speedHelp)
	command.Float64(&o.platform.LoadStartsPerSecond, "", "load-starts", "starts a second of the weight store")
	command.Int(&o.platform.LoadsAtFullSpeed, "", "loads-at-full-speed", "transfers that the weight store serves at full speed")
	command.Float64(&o.platform.LoadBytesPerSecond, "", "load-bytes", "bytes a second of one transfer at full speed")
	command.Float64(&o.platform.TableRequestsPerSecond, "", "table-requests", "rate limit of the table service; 0 for none")
	command.Float64(&o.platform.ObjectRequestsPerSecond, "", "object-requests", "rate limit of the object store; 0 for none")
	command.Duration(&o.platform.MachineListLag, "", "machine-lag", "lag of the list of machines")
}

func (o *options) addEngineFlags(command *flaggy.Subcommand) {
	e := &o.engine
	command.NetipAddrPort(&o.listen, "l", "listen", listenHelp)
	command.NetipAddrPort(&o.platformAddress, "p", "platform", "IP:port of the platform; none if left out")
	command.Float64(&e.Speed, "", "speed", speedHelp)
	command.String(&e.ID, "", "id", "ID of the machine")
	command.String(&e.Service, "", "service", "service that the machine belongs to")
	command.String(&e.Zone, "", "zone", "zone of the machine")
	command.String(&e.Region, "", "region", "region of the machine")
	command.UInt64(&e.MemoryBytes, "", "memory", "bytes for weights, adapters and KV cache beyond the reserve")
	command.UInt64(&e.KVReserveBytes, "", "kv-reserve", "bytes on top that hold KV cache only")
	command.UInt64(&e.PrefixCacheBytes, "", "prefix-cache", "most bytes of the prefix cache")
	command.Float64(&e.TokensPerSecond, "", "tokens", "tokens a second of a request that runs alone")
	command.Float64(&e.BatchSlowdown, "", "batch-slowdown", "a batch of n runs 1+s*(n-1) times slower")
	command.Int(&e.MaxBatch, "", "max-batch", "most requests in the batch")
	command.Float64(&e.PrefillTokensPerSecond, "", "prefill-tokens", "prompt tokens a second")
	command.Int(&e.ParallelLoads, "", "parallel-loads", "most loads at once")
	command.Duration(&e.UnloadTime, "", "unload-time", "time that an unload takes")
	command.UInt64(&e.HostCacheBytes, "", "host-cache", "bytes for checkpoints in the host's memory")
	command.UInt64(&e.DiskCacheBytes, "", "disk-cache", "bytes for checkpoints on the local disk")
	command.Float64(&e.RemoteBytesPerSecond, "", "remote-bytes", "bytes a second of a load without a platform")
	command.Duration(&e.LoadReportLag, "", "load-lag", "lag of the load reports")
	command.Duration(&e.CacheEventLag, "", "cache-event-lag", "lag of the cache events")
	command.Float64(&e.CacheEventGap, "", "cache-event-gap", "share of the cache events that get lost")
	command.Duration(&o.stopTimeout, "", "stop-within", "longest wait for running requests on a stop")
}

// parse parses and checks the arguments.
func (o *options) parse(arguments []string) error {
	if err := o.parser.ParseArgs(arguments); err != nil {
		return err
	}
	if !o.platformCommand.Used && !o.engineCommand.Used {
		o.parser.ShowHelp()
		return fmt.Errorf("martenwheel-standin: specify platform or engine")
	}
	if o.engineCommand.Used && o.engine.ID == "" {
		return fmt.Errorf("martenwheel-standin engine: --id missing")
	}
	if o.platformAddress.IsValid() {
		o.engine.Platform = o.platformAddress.String()
	}
	return nil
}
