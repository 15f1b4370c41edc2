package lavfake

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore is a fake store of model weights with a rate limit. The
// content that it serves consists of null bytes.
type WeightStore struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	served  int
	refused int
}

// weightChunkBytes is the size of each write to a response. It is also the
// default response size and the minimum burst of the rate limit.
const weightChunkBytes = 64 << 10

// NewWeightStore returns a store that serves at most the given number of bytes
// per second.
func NewWeightStore(bytesPerSecond int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond, weightChunkBytes))}
}

// Counts returns the number of bytes served and the number of calls refused.
func (s *WeightStore) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// ServeHTTP responds to GET /weights/{Name}?bytes=N with N bytes, or refuses
// the call if N bytes exceed the rate limit.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		size = weightChunkBytes
	}
	allowed := s.limiter.AllowN(time.Now(), size)
	s.countCall(size, allowed)
	if !allowed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	chunk := make([]byte, weightChunkBytes)
	for size > 0 {
		n := min(size, len(chunk))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
	}
}

func (s *WeightStore) countCall(size int, allowed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if allowed {
		s.served += size
	} else {
		s.refused++
	}
}
