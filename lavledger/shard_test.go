package lavledger

import (
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavfake"
)

// TestCacheKeepsNewestRecord guards against a log read that overwrites newer
// records in the cache. If the log was read before a call ended at this host,
// the outcome must stay cached. Otherwise the host would report to a peer that
// the call was never claimed.
func TestCacheKeepsNewestRecord(t *testing.T) {
	key := CallKey{1}
	voided := Record{Key: key, Number: 5, Nonce: 1, State: NotRun}
	claimed := Record{Key: key, Number: 6, Nonce: 2, State: Claimed}
	done := Record{Key: key, Number: 6, Nonce: 2, State: Done}
	settled := Record{Key: key, Number: 7, Nonce: 2, State: Done}
	for _, c := range []struct {
		name   string
		logged Record
		want   Record
	}{
		{"log holds an older voided claim", voided, done},
		{"log holds the claim before its outcome", claimed, done},
		{"log holds a newer outcome", settled, settled},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newShard(lavfake.NewStore(), 0)
			s.log.indexRecords([]Record{c.logged})
			s.cacheRecord(claimed)
			s.cacheRecord(done)
			s.updateCache()
			record, _ := s.cached(key)
			lavassert.Equal(t, "number", record.Number, c.want.Number)
			lavassert.Equal(t, "state", record.State, c.want.State)
		})
	}
}
