package lavfront

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavstep"
	"lavenderrack.example/lavenderrack/lavstream"
)

// Times towards callers.
const (
	// stallTimeout is how long a caller may take to read what was written.
	stallTimeout = 20 * time.Second
	// heartbeatEvery is the longest silence of a stream that has begun. A
	// caller who hears nothing for longer has lost his connection.
	heartbeatEvery = time.Second
)

// streamWriter writes an answer as server-sent events.
type streamWriter struct {
	ctx    context.Context
	w      http.ResponseWriter
	signer *lavstream.Signer
	host   string
	name   shapeName
	prompt *prompt
	// endpoint is where the last token was made for; empty at the beginning.
	endpoint    string
	incarnation lavengine.Incarnation

	// mu keeps heartbeats and pieces apart.
	mu   sync.Mutex
	buf  []byte
	last time.Time
	// stop ends the heartbeats, which close stopped then.
	stop    chan struct{}
	stopped chan struct{}
}

func (f *Front) newStreamWriter(ctx context.Context, w http.ResponseWriter, p *prompt, name shapeName) *streamWriter {
	return &streamWriter{ctx: ctx, w: w, signer: f.parts.Signer(), host: f.parts.Self().Incarnation, name: name, prompt: p}
}

// start writes the headers before the first frame, with the token by which the
// caller may resume the stream.
func (s *streamWriter) start(token string) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set("Trailer", lavrequest.HeaderOutcome)
	s.w.Header().Set(lavrequest.HeaderResume, token)
	s.w.WriteHeader(http.StatusOK)
	s.stop, s.stopped = make(chan struct{}), make(chan struct{})
	go s.beat()
}

// beat writes a comment line whenever nothing was written for a while.
func (s *streamWriter) beat() {
	defer close(s.stopped)
	tick := time.NewTicker(heartbeatEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		if time.Since(s.last) >= heartbeatEvery {
			s.buf = append(s.buf[:0], ":\n\n"...)
			// A caller who has gone is noticed at the next piece.
			_ = s.flush()
		}
		s.mu.Unlock()
	}
}

// piece writes one frame. The event ID is the offset at its end. If the stream
// has moved to another endpoint, a comment line holds the new token.
func (s *streamWriter) piece(p lavstream.EndpointFrame) error {
	if err := lavstep.Failpoint(s.ctx, lavstep.CallerWrite, s.prompt.request.Customer); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = s.buf[:0]
	if p.Endpoint != s.endpoint || p.Incarnation != s.incarnation {
		if err := s.move(p); err != nil {
			return err
		}
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(p.Offset+p.Tokens), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, shapes[s.name].chunk(s.prompt, p.Frame)...)
	s.buf = append(s.buf, "\n\n"...)
	if p.Final {
		s.buf = append(s.buf, "data: "+lavengine.StreamEnd+"\n\n"...)
	}
	return lavstep.Wrap(s.flush(), lavstep.CallerWrite, s.prompt.request.Customer)
}

func (s *streamWriter) move(p lavstream.EndpointFrame) error {
	token, err := s.token(p)
	if err != nil {
		return err
	}
	if s.endpoint == "" {
		s.start(token)
	} else {
		s.buf = append(s.buf, ": "+lavrequest.HeaderResume+" "+token+"\n"...)
	}
	s.endpoint, s.incarnation = p.Endpoint, p.Incarnation
	return nil
}

func (s *streamWriter) token(p lavstream.EndpointFrame) (string, error) {
	r := s.prompt.request
	return s.signer.Sign(&lavstream.Token{
		Request: r.ID, Endpoint: p.Endpoint, Incarnation: p.Incarnation, Host: s.host,
		Customer: r.Customer, ResponseFormat: int(s.name), Model: r.Model, PromptTokens: r.PromptTokens,
		Arrived: r.Arrived, Deadline: r.Deadline,
	})
}

// flush sends the buffer. A caller who doesn't read holds his stream up, but
// not for ever.
func (s *streamWriter) flush() error {
	s.last = time.Now()
	control := http.NewResponseController(s.w)
	// A writer without deadlines, as in tests, still has that of its request.
	_ = control.SetWriteDeadline(time.Now().Add(stallTimeout))
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return control.Flush()
}

// end states the outcome. An answer that broke off gets an error event and no
// end marker, so that no caller takes it for whole.
func (s *streamWriter) end(err error, failed lavrequest.Outcome) {
	if s.stop != nil {
		close(s.stop)
		<-s.stopped
	}
	if err == nil {
		s.w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeDone.String())
		return
	}
	f := failureOf(err, failed)
	if s.endpoint == "" {
		f.write(s.w)
		return
	}
	s.w.Header().Set(lavrequest.HeaderOutcome, f.outcome.String())
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, encode(f.body())...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.flush()
}
