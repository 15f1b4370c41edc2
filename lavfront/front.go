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

// Limits and defaults for requests. Body sizes are in bytes. The timeouts cover a
// whole request, including the time that it spends in the queue.
const (
	maxPromptBodyBytes  = 16 << 20
	maxServiceBodyBytes = 1 << 20
	defaultTimeout      = time.Minute
	maxTimeout          = time.Hour
)

// Config holds the dependencies of a Front.
type Config struct {
	Releases  interface{ State() *lavrelease.State }
	Members   interface{ View() *lavmember.View }
	Endpoints *lavendpoint.Table
	Relay     *lavstream.Relay
	// Gang runs prompts that do not fit into the memory of one engine. If it is
	// nil, every prompt runs on one engine.
	Gang GangRunner
	// Signer returns the current signer of resume tokens.
	Signer func() *lavstream.Signer
	// HandOver asks the host that has been relaying a stream to stop doing so,
	// because this host takes the stream over.
	HandOver func(ctx context.Context, t *lavstream.Token)
	Ledger   *lavledger.Ledger
	// Client sends the calls to plain services.
	Client *http.Client
	Scope  tally.Scope
	// Self returns the membership entry of this host.
	Self func() lavmember.Member
	// Record adds a finished request to the burn report, which shows how fast
	// error budgets are used up. It may be nil.
	Record func(now time.Time, s lavburn.Sample)
}

// GangRunner runs prompts that do not fit into the memory of one engine on several
// engines.
type GangRunner interface {
	// NeedsGang reports whether a request is too large for any single engine.
	NeedsGang(r *lavrequest.Request) bool
	// Run runs a job on a gang of engines until its answer is complete.
	Run(ctx context.Context, job *lavstream.Job) (lavretry.Attempts, error)
}

// Front is the http.Handler for requests from callers.
type Front struct {
	config        Config
	serviceClient *serviceClient
	// budget limits the retries of calls to plain services, per customer.
	budget *lavretry.Budget[string]
	mux    *http.ServeMux
}

// New returns a Front with the given dependencies.
func New(config Config) *Front {
	f := &Front{
		config:        config,
		serviceClient: newServiceClient(config.Endpoints, config.Client),
		budget:        lavretry.NewBudget[string](),
		mux:           http.NewServeMux(),
	}
	f.mux.HandleFunc("GET /v1/entries", f.handleEntries)
	f.mux.HandleFunc("POST /v1/completions", f.handleCompletions)
	f.mux.HandleFunc("POST /v1/chat/completions", f.handleChat)
	f.mux.HandleFunc("GET /v1/resume", f.handleResume)
	f.mux.HandleFunc("GET /v1/models", f.handleModels)
	f.mux.HandleFunc("GET /v1/models/{Name}", f.handleModel)
	f.mux.HandleFunc("/services/{Name}/{Path...}", f.handleServiceCall)
	f.mux.HandleFunc("GET /healthz", f.handleHealthz)
	f.mux.HandleFunc("GET /readyz", f.handleReadyz)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, r := observeRequest(w, r)
	f.mux.ServeHTTP(o, r)
	o.recordSample(r.Context(), f.config.Record)
}

func (f *Front) handleHealthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// handleReadyz reports whether this host should receive requests: it has a release
// and is not leaving.
func (f *Front) handleReadyz(w http.ResponseWriter, _ *http.Request) {
	if f.config.Releases.State().Version == 0 || f.config.Self().Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
