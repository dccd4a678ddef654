package standin

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	tokenRetention       = 10 * time.Minute // how long the service remembers a token
	maxTransactionWrites = 100
	maxTokenLength       = 36
	maxQueryPage         = 1 << 20 // bytes
)

// attribute is a value in the DynamoDB protocol. Exactly one field is set.
type attribute struct {
	S *string `json:"S,omitempty"`
	N *string `json:"N,omitempty"`
	B *[]byte `json:"B,omitempty"`
}

// record is a stored item. It is immutable.
type record map[string]attribute

func (r record) size() int {
	size := 0
	for name, value := range r {
		size += len(name)
		if value.B != nil {
			size += len(*value.B)
		}
		if value.S != nil {
			size += len(*value.S)
		}
	}
	return size
}

// recordKey identifies a record by its two key attributes.
type recordKey struct {
	partition string
	key       string
}

// appliedToken is the token of a transaction that took effect.
type appliedToken struct {
	fingerprint uint64
	at          time.Time
}

// table is the transactional table service. It ignores table names: all requests
// use the same table. It is safe for concurrent use.
type table struct {
	clock   *Clock
	limiter *rate.Limiter

	mutex   sync.Mutex
	records map[recordKey]record
	replica map[recordKey]record // what inconsistent reads see; nil: records
	tokens  map[string]appliedToken
}

func newTable(clock *Clock, limiter *rate.Limiter) *table {
	return &table{clock: clock, limiter: limiter, records: map[recordKey]record{}, tokens: map[string]appliedToken{}}
}

// setStaleReads makes inconsistent reads see a snapshot of the present state, or
// the latest state again if stale is false.
func (t *table) setStaleReads(stale bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.replica = nil
	if stale {
		t.replica = maps.Clone(t.records)
	}
}

func (t *table) visible(consistent bool) map[recordKey]record {
	if consistent || t.replica == nil {
		return t.records
	}
	return t.replica
}

func (t *table) get(key recordKey, consistent bool) (record, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found, ok := t.visible(consistent)[key]
	return found, ok
}

// query returns a page of the records of a partition whose keys begin with
// prefix and are greater than after, in key order, and whether there are more.
func (t *table) query(partition, prefix, after string, consistent bool) (page []record, more bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	records := t.visible(consistent)
	var keys []recordKey
	for key := range records {
		if key.partition == partition && strings.HasPrefix(key.key, prefix) && key.key > after {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].key < keys[j].key })
	size := 0
	for i, key := range keys {
		page = append(page, records[key])
		size += records[key].size()
		if size > maxQueryPage {
			return page, i+1 < len(keys)
		}
	}
	return page, false
}

// action is one action of a transaction.
type action struct {
	key       recordKey
	condition condition
	put       record // nil: nothing to put
	remove    bool
}

// condition requires that a record is missing or that its version attribute has
// a certain value.
type condition struct {
	missing bool
	version string
}

func (c condition) holds(found record, exists bool) bool {
	if c.missing {
		return !exists
	}
	return exists && found[attributeVersion].N != nil && *found[attributeVersion].N == c.version
}

// transactionResult is the outcome of a transaction.
type transactionResult struct {
	mismatch bool   // the token was used for another transaction
	failed   []bool // for each action, whether its condition failed; nil if all held
}

// transact applies all actions if all conditions hold. A transaction whose token
// was applied before has no effect.
func (t *table) transact(token string, fingerprint uint64, actions []action) transactionResult {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.Now()
	maps.DeleteFunc(t.tokens, func(_ string, known appliedToken) bool { return now.Sub(known.at) > tokenRetention })
	if known, ok := t.tokens[token]; ok && token != "" {
		return transactionResult{mismatch: known.fingerprint != fingerprint}
	}
	if failed := t.check(actions); failed != nil {
		return transactionResult{failed: failed}
	}
	for _, action := range actions {
		if action.remove {
			delete(t.records, action.key)
		} else if action.put != nil {
			t.records[action.key] = action.put
		}
	}
	t.tokens[token] = appliedToken{fingerprint: fingerprint, at: now}
	return transactionResult{}
}

func (t *table) check(actions []action) []bool {
	failed := make([]bool, len(actions))
	anyFailed := false
	for i, action := range actions {
		found, exists := t.records[action.key]
		failed[i] = !action.condition.holds(found, exists)
		anyFailed = anyFailed || failed[i]
	}
	if !anyFailed {
		return nil
	}
	return failed
}
