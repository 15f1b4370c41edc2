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

// standinCommand runs one stand-in.
type standinCommand struct {
	what   string
	addr   string
	models string
	hosts  string
	engine lavfake.EngineSettings
	reads  int
	writes int
	rate   int
	lag    time.Duration
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a stand-in of a system outside" }
func (*standinCommand) Usage() string {
	return `standin -what store|engine|orders|hostlist|weights -addr ADDRESS [flags]
  Run a stand-in until SIGTERM. A store, an engine and an order server also take
  faults by POST at ` + lavfake.ControlPath + `, which "load -store" uses.

`
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.what, "what", "", "the `SYSTEM` to stand in for")
	f.StringVar(&c.addr, "addr", "127.0.0.1:0", "the `ADDRESS` to listen on")
	f.StringVar(&c.models, "models", "caption", "the `MODELS` of an engine, with commas")
	f.StringVar(&c.hosts, "hosts", "", "the `HOSTS` that a host list shows, with commas")
	f.DurationVar(&c.lag, "lag", 500*time.Millisecond, "how late load reports, cache events and the host list are")
	f.IntVar(&c.engine.MemoryTokens, "memory", 400_000, "`TOKENS` of an engine's memory")
	f.IntVar(&c.engine.CacheTokens, "cache", 150_000, "`TOKENS` of an engine's prefix cache")
	f.Float64Var(&c.engine.PrefillRate, "prefill", 40_000, "prompt `TOKENS` that an engine reads a second")
	f.Float64Var(&c.engine.DecodeRate, "decode", 40, "answer `TOKENS` of one stream a second")
	f.IntVar(&c.engine.ColdLimit, "cold-limit", 16_000, "`TOKENS` that a cold engine bears")
	f.DurationVar(&c.engine.ColdTime, "cold-time", 20*time.Second, "how long an engine is cold")
	f.DurationVar(&c.engine.DownTime, "down-time", 2*time.Second, "how long a dead engine answers nothing")
	f.BoolVar(&c.engine.ChecksFence, "fence", true, "an engine refuses orders with old fencing numbers")
	f.IntVar(&c.reads, "reads", 2_000, "reads a second of a store; 0 is no limit")
	f.IntVar(&c.writes, "writes", 400, "writes a second of a store; 0 is no limit")
	f.IntVar(&c.rate, "rate", 64<<20, "`BYTES` a second of a weight store")
}

func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	handler, ok := c.handler()
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: -what %q: want store, engine, orders, hostlist or weights\n", c.what)
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
	on, err := config.Listen(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	fmt.Printf("%s at %v\n", c.what, on.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(on); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// standinStep is the time of one batch of a stand-in engine.
const standinStep = 10 * time.Millisecond

func (c *standinCommand) handler() (http.Handler, bool) {
	switch c.what {
	case "store":
		store := lavfake.NewStore()
		if c.reads > 0 && c.writes > 0 {
			store.SetRateLimits(c.reads, c.writes)
		}
		return store.ControlledHandler(), true
	case "engine":
		c.engine.Step, c.engine.Lag = standinStep, c.lag
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
		return lavfake.NewWeightStore(c.rate), true
	default:
		return nil, false
	}
}
