package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavfake"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// standinCommand runs one stand-in: a server that simulates an external system.
type standinCommand struct {
	system          string
	addr            string
	models          string
	hosts           string
	engine          lavfake.EngineSettings
	readsPerSecond  int
	writesPerSecond int
	bytesPerSecond  int
	lag             time.Duration
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a server that simulates an external system" }
func (*standinCommand) Usage() string {
	return `standin -what store|engine|orders|hostlist|weights -addr ADDRESS [flags]
  Run a stand-in, which simulates an external system, until SIGTERM. For a store, an
  engine and an order server, faults can be set by POST to ` + lavfake.ControlPath + `.
  The command "load -store" does so.

`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.system, "what", "", "the `SYSTEM` to simulate")
	f.StringVar(&c.addr, "addr", "127.0.0.1:0", "the `ADDRESS` to listen on")
	f.StringVar(&c.models, "models", "caption", "comma-separated `MODELS` of an engine")
	f.StringVar(&c.hosts, "hosts", "", "comma-separated `HOSTS` of a host list")
	f.DurationVar(&c.lag, "lag", 500*time.Millisecond, "delay of load reports, cache events and changes of the host list")
	f.IntVar(&c.engine.MemoryTokens, "memory", 400_000, "KV cache memory of an engine in `TOKENS`")
	f.IntVar(&c.engine.CacheTokens, "cache", 150_000, "prefix cache of an engine in `TOKENS`, in addition to -memory")
	f.Float64Var(&c.engine.PrefillRate, "prefill", 40_000, "prefill rate of an engine in prompt `TOKENS` per second")
	f.Float64Var(&c.engine.DecodeRate, "decode", 40, "decode rate of one stream in answer `TOKENS` per second")
	f.IntVar(&c.engine.ColdLimit, "cold-limit", 16_000, "`TOKENS` in memory above which a cold engine crashes")
	f.DurationVar(&c.engine.ColdTime, "cold-time", 20*time.Second, "time for which an engine is cold after a crash")
	f.DurationVar(&c.engine.DownTime, "down-time", 2*time.Second, "time for which a crashed engine does not answer")
	f.BoolVar(&c.engine.ChecksFence, "fence", true, "whether an engine refuses orders with outdated fencing tokens")
	f.IntVar(&c.readsPerSecond, "reads", 2_000, "reads per second that a store allows; 0 for -reads or -writes removes both limits")
	f.IntVar(&c.writesPerSecond, "writes", 400, "writes per second that a store allows; 0 for -reads or -writes removes both limits")
	f.IntVar(&c.bytesPerSecond, "rate", 64<<20, "transfer rate of a weight store in `BYTES` per second")
}

func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	handler, ok := c.handler()
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: -what %q: want store, engine, orders, hostlist or weights\n", c.system)
		return subcommands.ExitUsageError
	}
	if err := c.serve(ctx, handler); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *standinCommand) serve(ctx context.Context, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	fmt.Printf("%s at %v\n", c.system, listener.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// batchInterval is the duration of one batch iteration of a stand-in engine.
const batchInterval = 10 * time.Millisecond

// handler returns the HTTP handler of the chosen stand-in. It returns false for an
// unknown one.
func (c *standinCommand) handler() (http.Handler, bool) {
	switch c.system {
	case "store":
		store := lavfake.NewStore()
		if c.readsPerSecond > 0 && c.writesPerSecond > 0 {
			store.SetRateLimits(c.readsPerSecond, c.writesPerSecond)
		}
		return store.ControlledHandler(), true
	case "engine":
		c.engine.Step, c.engine.Lag = batchInterval, c.lag
		c.engine.Models = strings.Split(c.models, ",")
		return lavfake.NewEngine(c.engine).ControlledHandler(), true
	case "orders":
		return lavfake.NewStandaloneOrderServer().ControlledHandler(), true
	case "hostlist":
		list := lavfake.NewLaggingHostList(c.lag)
		var hosts []lavendpoint.HostState
		for name := range strings.SplitSeq(c.hosts, ",") {
			if name != "" {
				hosts = append(hosts, lavendpoint.HostState{Name: name})
			}
		}
		list.Set(hosts...)
		return list, true
	case "weights":
		return lavfake.NewWeightStore(c.bytesPerSecond), true
	default:
		return nil, false
	}
}
