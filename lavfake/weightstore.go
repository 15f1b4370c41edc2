package lavfake

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// WeightStore is a store of model weights with a rate limit. It hands out
// bytes without meaning.
type WeightStore struct {
	limit *rate.Limiter

	mu      sync.Mutex
	served  int
	refused int
}

// weightChunkBytes is what one call may take at a time.
const weightChunkBytes = 64 << 10

// NewWeightStore returns a store that serves that many bytes a second.
func NewWeightStore(bytesPerSecond int) *WeightStore {
	return &WeightStore{limit: rate.NewLimiter(rate.Limit(bytesPerSecond), max(bytesPerSecond, weightChunkBytes))}
}

// Counts returns how many bytes were served and how many calls refused.
func (s *WeightStore) Counts() (served, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served, s.refused
}

// ServeHTTP answers GET /weights/{Name}?bytes=N with that many bytes, or
// refuses the call if they are over the rate.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("bytes"))
	if err != nil || size < 0 {
		size = weightChunkBytes
	}
	taken := s.limit.AllowN(time.Now(), size)
	s.count(size, taken)
	if !taken {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate", http.StatusTooManyRequests)
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

func (s *WeightStore) count(size int, taken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if taken {
		s.served += size
	} else {
		s.refused++
	}
}
