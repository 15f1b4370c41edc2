package lavfake

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
)

// OrderFaults are what may be wrong with an order server. The zero value is
// nothing.
type OrderFaults struct {
	// Delay slows each call.
	Delay time.Duration
	// LoseReplies runs orders and then cuts the connection.
	LoseReplies bool
	// Down cuts each connection before anything is run.
	Down bool
}

// OrderBook holds the orders that several servers share.
type OrderBook struct {
	mu   sync.Mutex
	runs map[string]int
}

// OrderServer is one server of a plain service that takes orders and answers
// lookups.
type OrderServer struct {
	book    *OrderBook
	history History

	mu     sync.Mutex
	faults OrderFaults
}

// NewOrderBook returns an empty book.
func NewOrderBook() *OrderBook { return &OrderBook{runs: make(map[string]int)} }

// NewStandaloneOrderServer returns a server with a book of its own.
func NewStandaloneOrderServer() *OrderServer { return NewOrderServer(NewOrderBook()) }

// NewOrderServer returns a server that shares a book with others.
func NewOrderServer(book *OrderBook) *OrderServer { return &OrderServer{book: book} }

// Runs returns how often each order was run, by its content.
func (b *OrderBook) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make(map[string]int, len(b.runs))
	for key, n := range b.runs {
		runs[key] = n
	}
	return runs
}

func (b *OrderBook) run(content string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[content]++
}

// Runs returns how often each order of the book was run, by its content.
func (o *OrderServer) Runs() map[string]int { return o.book.Runs() }

// History lists the calls that began at this server.
func (o *OrderServer) History() *History { return &o.history }

// SetFaults replaces what is wrong with the server.
func (o *OrderServer) SetFaults(f OrderFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

func (o *OrderServer) now() OrderFaults {
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
		if o.now().Down {
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
	o.history.add(string(body))
	faults := o.begin()
	o.book.run(string(body))
	if faults.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Order string }{string(body)})
}

func (o *OrderServer) httpLookup(w http.ResponseWriter, _ *http.Request) {
	o.history.add("")
	o.begin()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct{ Orders int }{len(o.Runs())})
}

// begin applies the faults that come before a call is run.
func (o *OrderServer) begin() OrderFaults {
	faults := o.now()
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(faults.Delay)
	return faults
}
