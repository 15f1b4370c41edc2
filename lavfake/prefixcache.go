package lavfake

import (
	"container/list"
	"math/rand/v2"
	"time"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// maxRetainedEvents is the number of events that are kept for clients to read.
const maxRetainedEvents = 1 << 14

// prefixCache is an LRU cache of prompt blocks with a limited size in tokens.
// Its change events become visible after a lag, and some of them are lost.
type prefixCache struct {
	capacity  int
	lag       time.Duration
	eventLoss float64
	random    *rand.Rand

	usedTokens int
	// lru holds the cached blocks, most recently used first.
	lru    *list.List
	blocks map[lavrequest.PrefixHash]*list.Element
	// lastNumber is the number of the newest event. It is not reset when the
	// engine crashes.
	lastNumber uint64
	events     []delayedEvent
}

type block struct {
	hash   lavrequest.PrefixHash
	tokens int
}

type delayedEvent struct {
	event     lavengine.CacheEvent
	visibleAt time.Time
}

func newPrefixCache(settings EngineSettings) prefixCache {
	return prefixCache{
		capacity:  settings.CacheTokens,
		lag:       settings.Lag,
		eventLoss: settings.EventLoss,
		random:    rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		lru:       list.New(),
		blocks:    make(map[lavrequest.PrefixHash]*list.Element),
	}
}

// lookUp returns the number of tokens in the longest cached prefix.
func (c *prefixCache) lookUp(prefixes []lavrequest.PrefixHash) int {
	n := 0
	for n < len(prefixes) && c.blocks[prefixes[n]] != nil {
		n++
	}
	// Move the block of the shortest prefix last, so that it becomes the most
	// recently used one and eviction removes the end of a chain first.
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[prefixes[i]])
	}
	return lavrequest.PrefixTokens(n)
}

// insert adds the blocks of a prefilled prompt. A block is useful only together
// with all the blocks before it, so insert adds the last block first. The last
// block is then also evicted first.
func (c *prefixCache) insert(incarnation lavengine.Incarnation, prefixes []lavrequest.PrefixHash) {
	if c.capacity == 0 {
		return
	}
	for i := len(prefixes) - 1; i >= 0; i-- {
		if element := c.blocks[prefixes[i]]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		b := block{hash: prefixes[i], tokens: lavrequest.PrefixTokens(i+1) - lavrequest.PrefixTokens(i)}
		c.blocks[b.hash] = c.lru.PushFront(b)
		c.usedTokens += b.tokens
		c.recordEvent(incarnation, b.hash, false)
	}
	c.evict(incarnation)
}

func (c *prefixCache) evict(incarnation lavengine.Incarnation) {
	for c.usedTokens > c.capacity {
		last := c.lru.Back()
		b, ok := c.lru.Remove(last).(block)
		if !ok {
			return
		}
		delete(c.blocks, b.hash)
		c.usedTokens -= b.tokens
		c.recordEvent(incarnation, b.hash, true)
	}
}

// recordEvent assigns the next number to an event. A lost event also takes a
// number, so that clients see a gap.
func (c *prefixCache) recordEvent(incarnation lavengine.Incarnation, hash lavrequest.PrefixHash, evicted bool) {
	c.lastNumber++
	if c.eventLoss > 0 && c.random.Float64() < c.eventLoss {
		return
	}
	event := lavengine.CacheEvent{Number: c.lastNumber, Incarnation: incarnation, Prefix: hash, Evicted: evicted}
	c.events = append(c.events, delayedEvent{event: event, visibleAt: time.Now().Add(c.lag)})
	if len(c.events) > maxRetainedEvents {
		c.events = c.events[len(c.events)-maxRetainedEvents:]
	}
}

// eventsAfter returns the visible events with a number greater than number.
func (c *prefixCache) eventsAfter(number uint64, now time.Time) []lavengine.CacheEvent {
	found := []lavengine.CacheEvent{}
	for _, e := range c.events {
		if e.visibleAt.After(now) {
			break
		}
		if e.event.Number > number {
			found = append(found, e.event)
		}
	}
	return found
}

// clear empties the cache when the engine crashes. It records no eviction
// events.
func (c *prefixCache) clear() {
	c.usedTokens = 0
	c.lru.Init()
	clear(c.blocks)
	c.events = nil
}
