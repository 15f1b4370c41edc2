package lavroute

import (
	"sync"

	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavrequest"
)

// Bounds of the index.
const (
	// maxBlocks bounds the blocks remembered of one endpoint.
	maxBlocks = 4096
	// maxHits bounds the endpoints looked at for one request.
	maxHits = 16
)

// Hit is an endpoint that has cached the first blocks of a prompt.
type Hit struct {
	Endpoint string
	Blocks   int
}

// CacheIndex knows which endpoint has cached which prefix blocks, as far as
// their events tell. Events come late and with gaps, so that the index is a
// guess: a wrong one costs the reading of a prefix, never a wrong answer.
type CacheIndex struct {
	mu     sync.RWMutex
	caches map[string]*cache
	// holders lists the endpoints that hold a block.
	holders map[lavrequest.PrefixHash][]*cache
}

// cache is what is known of one endpoint's cache.
type cache struct {
	endpoint    string
	incarnation lavengine.Incarnation
	// last is the number of the newest event.
	last   uint64
	blocks map[lavrequest.PrefixHash]*block
	// hot is the tokens of the blocks that were of use to a later prompt.
	hot int
	// newest and oldest end the list of the blocks by their last use.
	newest, oldest *block
}

// block is one cached prefix block.
type block struct {
	hash lavrequest.PrefixHash
	// uses counts the prompts that were sent for it, and tokens is its length,
	// known from the first of them.
	uses         int
	tokens       int
	newer, older *block
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{
		caches:  make(map[string]*cache),
		holders: make(map[lavrequest.PrefixHash][]*cache),
	}
}

// Last returns the incarnation and the number of the newest event of an
// endpoint, after which the next events are to be asked for.
func (x *CacheIndex) Last(endpoint string) (lavengine.Incarnation, uint64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c := x.caches[endpoint]
	if c == nil {
		return "", 0
	}
	return c.incarnation, c.last
}

// Apply takes in events of an endpoint, in the order of their numbers. Events
// that are known already change nothing.
func (x *CacheIndex) Apply(endpoint string, events []lavengine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, event := range events {
		c := x.of(endpoint, event.Incarnation)
		if event.Number <= c.last {
			continue
		}
		if c.last > 0 {
			x.lost(c, event.Number-c.last-1)
		}
		c.last = event.Number
		if event.Evicted {
			x.evict(c, event.Prefix)
		} else {
			x.touch(c, event.Prefix)
		}
	}
}

// Expect notes that an endpoint will cache the prefixes of a request sent to
// it, before its events can tell.
func (x *CacheIndex) Expect(endpoint string, incarnation lavengine.Incarnation, prefixes []lavrequest.PrefixHash) {
	if len(prefixes) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.of(endpoint, incarnation)
	// The engine gives up the longest first, so the first is used last.
	for i := len(prefixes) - 1; i >= 0; i-- {
		b := x.touch(c, prefixes[i])
		b.tokens = lavrequest.PrefixTokens(i+1) - lavrequest.PrefixTokens(i)
		if b.uses++; b.uses == 2 {
			c.hot += b.tokens
		}
	}
}

// ReusedTokens returns the tokens cached at an endpoint that have been of use to later
// prompts: what a long prompt that drives them out costs.
func (x *CacheIndex) ReusedTokens(endpoint string) int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	c := x.caches[endpoint]
	if c == nil {
		return 0
	}
	return c.hot
}

// Keep forgets every endpoint for which keep is false.
func (x *CacheIndex) Keep(keep func(endpoint string) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, c := range x.caches {
		if !keep(name) {
			x.clear(c)
			delete(x.caches, name)
		}
	}
}

// Hits appends endpoints that have cached leading blocks of a prompt. If there
// are more than it looks at, the seed decides which it leaves out.
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
		hits = append(hits, Hit{Endpoint: c.endpoint, Blocks: c.count(prefixes)})
	}
	return hits
}

// count returns how many leading blocks are cached. A block is of use only
// after those before it, and engines give up the longest first, so that the
// blocks held are the first ones.
func (c *cache) count(prefixes []lavrequest.PrefixHash) int {
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

// of returns the cache of an endpoint's incarnation. A new incarnation starts
// with an empty cache.
func (x *CacheIndex) of(endpoint string, incarnation lavengine.Incarnation) *cache {
	c := x.caches[endpoint]
	if c != nil && c.incarnation == incarnation {
		return c
	}
	if c == nil {
		c = &cache{endpoint: endpoint, blocks: make(map[lavrequest.PrefixHash]*block)}
		x.caches[endpoint] = c
	}
	x.clear(c)
	c.incarnation, c.last = incarnation, 0
	return c
}

// lost drops as many of the blocks used longest ago as there are lost events:
// each may have been the eviction of one.
func (x *CacheIndex) lost(c *cache, events uint64) {
	for ; events > 0 && c.oldest != nil; events-- {
		x.evict(c, c.oldest.hash)
	}
}

func (x *CacheIndex) clear(c *cache) {
	for c.oldest != nil {
		x.evict(c, c.oldest.hash)
	}
}

// touch makes a block the one used last, and returns it.
func (x *CacheIndex) touch(c *cache, hash lavrequest.PrefixHash) *block {
	b := c.blocks[hash]
	if b != nil {
		c.unlink(b)
		c.link(b)
		return b
	}
	if len(c.blocks) >= maxBlocks {
		x.evict(c, c.oldest.hash)
	}
	b = &block{hash: hash}
	c.blocks[hash] = b
	c.link(b)
	x.holders[hash] = append(x.holders[hash], c)
	return b
}

func (x *CacheIndex) evict(c *cache, hash lavrequest.PrefixHash) {
	b := c.blocks[hash]
	if b == nil {
		return
	}
	if b.uses >= 2 {
		c.hot -= b.tokens
	}
	c.unlink(b)
	delete(c.blocks, hash)
	holders := x.holders[hash]
	for i, have := range holders {
		if have == c {
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

func (c *cache) link(b *block) {
	b.older, b.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = b
	}
	c.newest = b
	if c.oldest == nil {
		c.oldest = b
	}
}

func (c *cache) unlink(b *block) {
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
