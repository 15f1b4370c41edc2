package lavfake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// OrderFaults are the injected faults of an order server. The zero value
// injects none.
type OrderFaults struct {
	// Delay is added to each call.
	Delay time.Duration
	// LoseReplies closes the connection after the order has been executed.
	LoseReplies bool
	// Down closes each connection before the call is executed.
	Down bool
}

// OrderBook counts the executions of each order. Several servers can share it.
type OrderBook struct {
	mu   sync.Mutex
	runs map[string]int
}

// OrderServer is one server of a fake plain service that executes orders and
// answers lookups.
type OrderServer struct {
	book    *OrderBook
	history History

	mu     sync.Mutex
	faults OrderFaults
}

// NewOrderBook returns an empty book.
func NewOrderBook() *OrderBook { return &OrderBook{runs: make(map[string]int)} }

// NewStandaloneOrderServer returns a server that does not share its book.
func NewStandaloneOrderServer() *OrderServer { return NewOrderServer(NewOrderBook()) }

// NewOrderServer returns a server that uses book, which other servers may
// share.
func NewOrderServer(book *OrderBook) *OrderServer { return &OrderServer{book: book} }

// Runs returns the number of executions of each order, keyed by request body.
func (b *OrderBook) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for key, n := range b.runs {
		runs[key] = n
	}
	return runs
}

func (b *OrderBook) record(content string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[content]++
}

// Runs returns the number of executions of each order in the book, keyed by
// request body. The counts include the other servers that share the book.
func (o *OrderServer) Runs() map[string]int { return o.book.Runs() }

// History returns the log of the calls that arrived at this server.
func (o *OrderServer) History() *History { return &o.history }

// SetFaults replaces the server's injected faults.
func (o *OrderServer) SetFaults(f OrderFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

func (o *OrderServer) currentFaults() OrderFaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// Handler returns the service's HTTP interface.
func (o *OrderServer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", o.httpOrder)
	mux.HandleFunc("GET /orders", o.httpLookup)
	mux.HandleFunc("POST /lookups", o.httpLookup)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		if o.currentFaults().Down {
			panic(http.ErrAbortHandler)
		}
		_ = json.NewEncoder(w).Encode(lavengine.LoadReport{Incarnation: "orders", Taken: time.Now()})
	})
	return mux
}

func (o *OrderServer) httpOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.history.record(string(body))
	faults := o.applyFaults()
	o.book.record(string(body))
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Order string }{string(body)})
}

func (o *OrderServer) httpLookup(w http.ResponseWriter, _ *http.Request) {
	o.history.record("")
	o.applyFaults()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Orders int }{len(o.Runs())})
}

// applyFaults applies the faults that take effect before a call is executed,
// and returns all current faults.
func (o *OrderServer) applyFaults() OrderFaults {
	faults := o.currentFaults()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	return faults
}
