package lavroute

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Limits of the index.
const (
	// maxBlocks limits the blocks recorded for one endpoint.
	maxBlocks = 4096
	// maxHits limits the endpoints considered for one request.
	maxHits = 16
)

// Hit is an endpoint that has the first blocks of a prompt cached.
type Hit struct {
	Endpoint string
	Blocks   int
}

// CacheIndex records which endpoints have which prefix blocks in their KV
// caches, based on the endpoints' cache events. Events arrive late and some are
// lost, so the index is approximate. A wrong entry costs extra prefill time but
// never causes a wrong answer.
type CacheIndex struct {
	mu     sync.RWMutex
	caches map[string]*endpointCache
	// holders lists the endpoints that have a block cached.
	holders map[lavrequest.PrefixHash][]*endpointCache
}

// endpointCache is the recorded content of the cache of one endpoint.
type endpointCache struct {
	endpoint    string
	incarnation lavengine.Incarnation
	// lastEvent is the number of the latest event received.
	lastEvent uint64
	blocks    map[lavrequest.PrefixHash]*block
	// reusedTokens is the total length of the blocks that a later prompt has
	// reused.
	reusedTokens int
	// newest and oldest are the ends of the list of blocks in order of last
	// use.
	newest, oldest *block
}

// block is one cached prefix block.
type block struct {
	hash lavrequest.PrefixHash
	// uses counts the dispatched prompts that contain the block. tokens is its
	// length, which is known once the first of those prompts has been
	// dispatched.
	uses         int
	tokens       int
	newer, older *block
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		caches:  make(map[string]*endpointCache),
		holders: make(map[lavrequest.PrefixHash][]*endpointCache),
	}
}

// LastEvent returns the endpoint's incarnation and the number of the latest
// event received from it. The next poll asks for the events after that number.
func (x *CacheIndex) LastEvent(endpoint string) (lavengine.Incarnation, uint64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c := x.caches[endpoint]
	if c == nil {
		return "", 0
	}
	return c.incarnation, c.lastEvent
}

// Apply records events of an endpoint, which must be in the order of their
// numbers. Events that are already recorded have no effect.
func (x *CacheIndex) Apply(endpoint string, events []lavengine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, event := range events {
		c := x.cacheOf(endpoint, event.Incarnation)
		if event.Number <= c.lastEvent {
			continue
		}
		if c.lastEvent > 0 {
			x.evictForGap(c, event.Number-c.lastEvent-1)
		}
		c.lastEvent = event.Number
		if event.Evicted {
			x.evict(c, event.Prefix)
		} else {
			x.touch(c, event.Prefix)
		}
	}
}

// Expect records that an endpoint will cache the prefixes of a request
// dispatched to it, before its cache events report so.
func (x *CacheIndex) Expect(endpoint string, incarnation lavengine.Incarnation, prefixes []lavrequest.PrefixHash) {
	if len(prefixes) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.cacheOf(endpoint, incarnation)
	// Engines evict the longest prefix first, so the shortest prefix is
	// recorded as the most recently used.
	for i := len(prefixes) - 1; i >= 0; i-- {
		b := x.touch(c, prefixes[i])
		b.tokens = lavrequest.PrefixTokens(i+1) - lavrequest.PrefixTokens(i)
		if b.uses++; b.uses == 2 {
			c.reusedTokens += b.tokens
		}
	}
}

// ReusedTokens returns the number of cached tokens at an endpoint that later
// prompts have reused. A long prompt that evicts them causes that many tokens
// to be prefilled again.
func (x *CacheIndex) ReusedTokens(endpoint string) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c := x.caches[endpoint]
	if c == nil {
		return 0
	}
	return c.reusedTokens
}

// Retain removes every endpoint for which keep returns false.
func (x *CacheIndex) Retain(keep func(endpoint string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, c := range x.caches {
		if !keep(name) {
			x.evictAll(c)
			delete(x.caches, name)
		}
	}
}

// Hits appends the endpoints that have leading blocks of a prompt cached. If
// there are more than maxHits, the seed determines which ones are returned.
func (x *CacheIndex) Hits(prefixes []lavrequest.PrefixHash, seed uint64, hits []Hit) []Hit {
	if len(prefixes) == 0 {
		return hits
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	holders := x.holders[prefixes[0]]
	n := len(holders)
	for step := range min(n, maxHits) {
		c := holders[(int(seed%uint64(n))+step)%n]
		hits = append(hits, Hit{Endpoint: c.endpoint, Blocks: c.leadingBlocks(prefixes)})
	}
	return hits
}

// leadingBlocks returns the number of leading blocks of a prompt that are
// cached. A block is usable only together with all blocks before it. The binary
// search relies on engines evicting the longest prefix first, so that the
// cached blocks are always the leading ones.
func (c *endpointCache) leadingBlocks(prefixes []lavrequest.PrefixHash) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if c.blocks[prefixes[middle-1]] != nil {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// cacheOf returns the cache of an endpoint's incarnation. The cache is empty
// after an incarnation change.
func (x *CacheIndex) cacheOf(endpoint string, incarnation lavengine.Incarnation) *endpointCache {
	c := x.caches[endpoint]
	if c != nil && c.incarnation == incarnation {
		return c
	}
	if c == nil {
		c = &endpointCache{endpoint: endpoint, blocks: make(map[lavrequest.PrefixHash]*block)}
		x.caches[endpoint] = c
	}
	x.evictAll(c)
	c.incarnation, c.lastEvent = incarnation, 0
	return c
}

// evictForGap evicts one block per lost event, least recently used first,
// because each lost event may have been an eviction.
func (x *CacheIndex) evictForGap(c *endpointCache, events uint64) {
	for ; events > 0 && c.oldest != nil; events-- {
		x.evict(c, c.oldest.hash)
	}
}

// evictAll removes all blocks of a cache.
func (x *CacheIndex) evictAll(c *endpointCache) {
	for c.oldest != nil {
		x.evict(c, c.oldest.hash)
	}
}

// touch marks a block as the most recently used, adds it if needed, and returns
// it.
func (x *CacheIndex) touch(c *endpointCache, hash lavrequest.PrefixHash) *block {
	b := c.blocks[hash]
	if b != nil {
		c.unlink(b)
		c.pushNewest(b)
		return b
	}
	if len(c.blocks) >= maxBlocks {
		x.evict(c, c.oldest.hash)
	}
	b = &block{hash: hash}
	c.blocks[hash] = b
	c.pushNewest(b)
	x.holders[hash] = append(x.holders[hash], c)
	return b
}

func (x *CacheIndex) evict(c *endpointCache, hash lavrequest.PrefixHash) {
	b := c.blocks[hash]
	if b == nil {
		return
	}
	if b.uses >= 2 {
		c.reusedTokens -= b.tokens
	}
	c.unlink(b)
	delete(c.blocks, hash)
	holders := x.holders[hash]
	for i, holder := range holders {
		if holder == c {
			holders[i] = holders[len(holders)-1]
			holders[len(holders)-1] = nil
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(x.holders, hash)
		return
	}
	x.holders[hash] = holders
}

func (c *endpointCache) pushNewest(b *block) {
	b.older, b.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = b
	}
	c.newest = b
	if c.oldest == nil {
		c.oldest = b
	}
}

func (c *endpointCache) unlink(b *block) {
	if b.newer != nil {
		b.newer.older = b.older
	} else {
		c.newest = b.older
	}
	if b.older != nil {
		b.older.newer = b.newer
	} else {
		c.oldest = b.newer
	}
}
