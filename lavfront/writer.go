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

// Timing of streamed responses.
const (
	// callerReadTimeout is the time within which a caller must read the data that
	// was written. After it, writes fail and the stream ends.
	callerReadTimeout = 20 * time.Second
	// heartbeatInterval is the time without data after which a heartbeat is sent
	// on a started stream. A caller that receives nothing for longer can treat
	// the connection as lost.
	heartbeatInterval = time.Second
)

// streamWriter writes an answer as server-sent events. The HTTP header is sent with
// the first frame.
type streamWriter struct {
	ctx    context.Context
	w      http.ResponseWriter
	signer *lavstream.Signer
	host   string
	format formatID
	prompt *prompt
	// endpoint and incarnation identify the engine process named by the latest
	// resume token. They are empty until the first frame.
	endpoint    string
	incarnation lavengine.Incarnation

	// mu serializes heartbeats and frames. It guards buf and lastWrite.
	mu        sync.Mutex
	buf       []byte
	lastWrite time.Time
	// stopHeartbeats is closed to end sendHeartbeats, which then closes
	// heartbeatsDone.
	stopHeartbeats chan struct{}
	heartbeatsDone chan struct{}
}

func (f *Front) newStreamWriter(ctx context.Context, w http.ResponseWriter, p *prompt, format formatID) *streamWriter {
	return &streamWriter{ctx: ctx, w: w, signer: f.config.Signer(), host: f.config.Self().Incarnation, format: format, prompt: p}
}

// writeHeader sends the HTTP header, which contains the resume token, and starts the
// heartbeats.
func (s *streamWriter) writeHeader(token string) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.Header().Set("Trailer", lavrequest.HeaderOutcome)
	s.w.Header().Set(lavrequest.HeaderResume, token)
	s.w.WriteHeader(http.StatusOK)
	s.stopHeartbeats, s.heartbeatsDone = make(chan struct{}), make(chan struct{})
	go s.sendHeartbeats()
}

// sendHeartbeats writes an empty comment line whenever nothing has been written for
// heartbeatInterval.
func (s *streamWriter) sendHeartbeats() {
	defer close(s.heartbeatsDone)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopHeartbeats:
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		if time.Since(s.lastWrite) >= heartbeatInterval {
			s.buf = append(s.buf[:0], ":\n\n"...)
			// The error is ignored because writing the next frame fails too
			// if the caller has disconnected.
			_ = s.flush()
		}
		s.mu.Unlock()
	}
}

// writePiece writes one frame. The event ID is the number of answer tokens up to the
// end of the frame. If the stream has moved to another engine process, a comment line
// before the frame contains the new resume token.
func (s *streamWriter) writePiece(p lavstream.EndpointFrame) error {
	if err := lavstep.Failpoint(s.ctx, lavstep.CallerWrite, s.prompt.request.Customer); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = s.buf[:0]
	if p.Endpoint != s.endpoint || p.Incarnation != s.incarnation {
		if err := s.announceEndpoint(p); err != nil {
			return err
		}
	}
	s.buf = append(s.buf, "id: "...)
	s.buf = strconv.AppendInt(s.buf, int64(p.Offset+p.Tokens), 10)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = append(s.buf, formats[s.format].encodeChunk(s.prompt, p.Frame)...)
	s.buf = append(s.buf, "\n\n"...)
	if p.Final {
		s.buf = append(s.buf, "data: "+lavengine.StreamEnd+"\n\n"...)
	}
	return lavstep.Wrap(s.flush(), lavstep.CallerWrite, s.prompt.request.Customer)
}

// announceEndpoint sends a new resume token for the engine process of p, in the HTTP
// header or, if the header has been sent, in a comment line.
func (s *streamWriter) announceEndpoint(p lavstream.EndpointFrame) error {
	token, err := s.signToken(p)
	if err != nil {
		return err
	}
	if s.endpoint == "" {
		s.writeHeader(token)
	} else {
		s.buf = append(s.buf, ": "+lavrequest.HeaderResume+" "+token+"\n"...)
	}
	s.endpoint, s.incarnation = p.Endpoint, p.Incarnation
	return nil
}

func (s *streamWriter) signToken(p lavstream.EndpointFrame) (string, error) {
	r := s.prompt.request
	return s.signer.Sign(&lavstream.Token{
		Request: r.ID, Endpoint: p.Endpoint, Incarnation: p.Incarnation, Host: s.host,
		Customer: r.Customer, ResponseFormat: int(s.format), Model: r.Model, PromptTokens: r.PromptTokens,
		Arrived: r.Arrived, Deadline: r.Deadline,
	})
}

// flush sends the buffer. It blocks if the caller does not read, but at most for
// callerReadTimeout.
func (s *streamWriter) flush() error {
	s.lastWrite = time.Now()
	controller := http.NewResponseController(s.w)
	// The error is ignored: a response writer that does not support write
	// deadlines, as in tests, is still limited by the deadline of the request.
	_ = controller.SetWriteDeadline(time.Now().Add(callerReadTimeout))
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return controller.Flush()
}

// finish stops the heartbeats and sends the outcome. After a failure within the
// answer it sends an error event without the end marker, so that callers do not
// mistake the answer for a complete one.
func (s *streamWriter) finish(err error, outcome lavrequest.Outcome) {
	if s.stopHeartbeats != nil {
		close(s.stopHeartbeats)
		<-s.heartbeatsDone
	}
	if err == nil {
		s.w.Header().Set(lavrequest.HeaderOutcome, lavrequest.OutcomeDone.String())
		return
	}
	f := failureOf(err, outcome)
	if s.endpoint == "" {
		f.write(s.w)
		return
	}
	s.w.Header().Set(lavrequest.HeaderOutcome, f.outcome.String())
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, mustMarshal(f.body())...)
	s.buf = append(s.buf, "\n\n"...)
	_ = s.flush()
}
