package lavfront

import (
	"context"
	"net/http"
	"time"

	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavledger"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavretry"
	"lavenderrack.example/lavenderrack/lavstream"

	"github.com/uber-go/tally/v4"
)

// Limits of what a caller may send.
const (
	maxPromptBytes  = 16 << 20
	maxServiceBytes = 1 << 20
	defaultTimeout  = time.Minute
	maxTimeout      = time.Hour
)

// Config are what a front is made of.
type Config struct {
	Releases  interface{ State() *lavrelease.State }
	Members   interface{ View() *lavmember.View }
	Endpoints *lavendpoint.Table
	Relay     *lavstream.Relay
	// Gang runs prompts that are longer than one engine's memory; it may be
	// nil.
	Gang Gang
	// Signer returns the signer of resume tokens.
	Signer func() *lavstream.Signer
	// HandOver asks the host that relayed a stream to let go of it.
	HandOver func(ctx context.Context, t *lavstream.Token)
	Ledger   *lavledger.Ledger
	// Client calls plain services.
	Client *http.Client
	Scope  tally.Scope
	// Self is this host's own entry in the directory.
	Self func() lavmember.Member
	// Record counts a request that has ended; it may be nil.
	Record func(now time.Time, s lavburn.Sample)
}

// Gang runs prompts that are longer than one engine's memory.
type Gang interface {
	// NeedsGang reports whether a request is longer than any engine's memory.
	NeedsGang(r *lavrequest.Request) bool
	Run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error)
}

// Front is the handler that callers reach.
type Front struct {
	parts   Config
	servers *servers
	// budget bounds the retries of calls of plain services by customer.
	budget *lavretry.Budget[string]
	mux    *http.ServeMux
}

// New returns a front made of those parts.
func New(parts Config) *Front {
	f := &Front{
		parts:   parts,
		servers: newServers(parts.Endpoints, parts.Client),
		budget:  lavretry.NewBudget[string](),
		mux:     http.NewServeMux(),
	}
	f.mux.HandleFunc("GET /v1/entries", f.entries)
	f.mux.HandleFunc("POST /v1/completions", f.completions)
	f.mux.HandleFunc("POST /v1/chat/completions", f.chat)
	f.mux.HandleFunc("GET /v1/resume", f.resume)
	f.mux.HandleFunc("GET /v1/models", f.models)
	f.mux.HandleFunc("GET /v1/models/{Name}", f.oneModel)
	f.mux.HandleFunc("/services/{Name}/{Path...}", f.service)
	f.mux.HandleFunc("GET /healthz", f.healthz)
	f.mux.HandleFunc("GET /readyz", f.readyz)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, r := observe(w, r)
	f.mux.ServeHTTP(o, r)
	o.report(r.Context(), f.parts.Record)
}

func (f *Front) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readyz tells whether callers should be sent here.
func (f *Front) readyz(w http.ResponseWriter, _ *http.Request) {
	if f.parts.Releases.State().Version == 0 || f.parts.Self().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
