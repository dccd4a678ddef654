package lineage

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/peer"
)

// storeEntries are the most entries of one transaction of the store.
const storeEntries = 100

// fakeStore keeps rows in memory.
type fakeStore struct {
	mu       sync.Mutex
	rows     map[string]Row
	written  map[string]time.Time
	version  uint64
	writes   int
	reads    int
	largest  int // streams of the largest row
	fails    bool
	silently bool // writes that fail are done
	unread   bool // reads fail
	silent   bool // reads are not answered
}

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]Row), written: make(map[string]time.Time)}
}

func (s *fakeStore) Read(ctx context.Context) ([]Row, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.fails || s.unread {
		return nil, errors.New("down")
	}
	var list []Row
	for key, r := range s.rows {
		r.Age = time.Since(s.written[key])
		list = append(list, r)
	}
	return list, nil
}

func (s *fakeStore) Write(_ context.Context, key string, record Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.fails && !s.silently {
		return errors.New("down")
	}
	s.version++
	s.rows[key], s.written[key] = Row{Key: key, Version: s.version, Record: record}, time.Now()
	streams := 0
	for _, g := range record.Groups {
		streams += len(g.Streams) / keyBytes
	}
	s.largest = max(s.largest, streams)
	if s.fails {
		return errors.New("no answer")
	}
	return nil
}

func (s *fakeStore) Remove(_ context.Context, rows []Row) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if 2*len(rows) > storeEntries { // each with its condition
		return errors.New("too many entries")
	}
	for _, r := range rows {
		if s.rows[r.Key].Version != r.Version {
			return errors.New("changed")
		}
	}
	for _, r := range rows {
		delete(s.rows, r.Key)
	}
	return nil
}

func (s *fakeStore) set(fails, silently bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails, s.silently = fails, silently
}

// storeLoad is what a store was asked for, and holds.
type storeLoad struct {
	writes, reads, rows int
	bytes               int // of keys
	largest             int // streams of the largest row written
}

func (s *fakeStore) load() storeLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := storeLoad{writes: s.writes, reads: s.reads, rows: len(s.rows), largest: s.largest}
	for _, r := range s.rows {
		for _, g := range r.Record.Groups {
			l.bytes += len(g.Streams)
		}
	}
	return l
}

func (s *fakeStore) setUnread(unread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unread = unread
}

// storedSite is the nodes of a site with a store.
type storedSite struct {
	*network
	t     *testing.T
	store *fakeStore
	nodes []Node
	alone atomic.Int64 // for how long one version has served alone, in nanoseconds
	stop  context.CancelFunc
}

func newStoredSite(t *testing.T, size int) *storedSite {
	s := &storedSite{t: t, store: newFakeStore(), nodes: nodesOf(size)}
	s.start()
	return s
}

// start starts all nodes, which know nothing of what was before.
func (s *storedSite) start() {
	if s.stop != nil {
		s.stop()
		synctest.Wait()
	}
	s.network = newNetwork()
	var ctx context.Context
	ctx, s.stop = context.WithCancel(s.t.Context())
	for _, r := range s.join(s.nodes) {
		r.Store, r.Alone = s.store, func(string) time.Duration { return time.Duration(s.alone.Load()) }
		go r.Run(ctx)
	}
}

func (s *storedSite) register(i int) *Register { return s.registers[s.nodes[i].Address] }

// find looks for a stream at a node as the relay does.
func (s *storedSite) find(i int, key Key) Found {
	if f := s.register(i).Find(s.t.Context(), key); f.Known || f.Conflicting {
		return f
	}
	return s.register(i).FindStored(s.t.Context(), key)
}

// inSite runs a test with a site in virtual time.
func inSite(t *testing.T, size int, test func(t *testing.T, s *storedSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newStoredSite(t, size)
		test(t, s)
		s.stop()
		synctest.Wait()
	})
}

// writeTime is after what time a stream has been written.
const writeTime = 2*archiveInterval + time.Millisecond

func TestLOSTOriginsGoWithAllNodes(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 330} {
		inSite(t, size, func(t *testing.T, s *storedSite) {
			s.register(0).Began(1, first, time.Minute)
			s.register(size-1).Began(2, second, time.Minute)
			time.Sleep(writeTime)
			s.start()
			for i := range s.nodes {
				if f := s.find(i, 1); !f.Known || f.Origin != first {
					t.Fatalf("of %d nodes, number %d found %+v", size, i, f)
				}
			}
			if f := s.find(0, 2); !f.Known || f.Origin != second {
				t.Errorf("of %d nodes, found %+v", size, f)
			}
			if f := s.find(0, 3); f.Known {
				t.Errorf("of %d nodes, found %+v", size, f)
			}
		})
	}
}

func TestLOSTStreamsThatBeganBeforeAReleaseAreNotStored(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.alone.Store(int64(Always))
		s.register(0).Began(1, first, time.Minute)
		time.Sleep(10 * time.Second)
		if s.store.load().writes+s.store.load().reads > 0 {
			t.Errorf("%d writes and %d reads while one version served alone", s.store.load().writes, s.store.load().reads)
		}
		s.alone.Store(0)
		time.Sleep(archiveInterval + writeTime)
		s.start()
		if f := s.find(4, 1); !f.Known || f.Origin != first {
			t.Errorf("found %+v", f)
		}
	})
}

func TestLOSTStreamsOfAVersionThatServesAloneSinceLatelyAreNotStored(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.alone.Store(int64(time.Minute))
		s.register(0).Began(1, first, 20*time.Second)
		s.register(0).Began(2, first, 10*time.Second)
		time.Sleep(writeTime)
		s.start()
		if long, short := s.find(4, 1), s.find(4, 2); !long.Known || short.Known {
			t.Errorf("found %+v and %+v", long, short)
		}
	})
}

func TestLOSTRestartedKeepersOverwriteTheirRows(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		for i := range 10 {
			s.register(0).Began(Key(i), first, time.Minute)
			time.Sleep(writeTime)
		}
		for i := range 5 {
			s.start()
			s.register(0).Began(Key(100+i), first, time.Minute)
			time.Sleep(writeTime)
		}
		s.start()
		for i := range 10 {
			if f := s.find(0, Key(i)); !f.Known {
				t.Errorf("stream %d: found %+v", i, f)
			}
		}
	})
}

func TestLOSTRunningStreamsAreOverwritten(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *storedSite) {
		s.register(0).Began(1, first, 5*time.Minute)
		for i := range 4 * archiveRows { // the rows are overwritten several times
			s.register(0).Began(Key(100+i), first, time.Second)
			time.Sleep(archiveInterval)
		}
		s.start()
		if f := s.find(1, 1); !f.Known {
			t.Errorf("found %+v", f)
		}
	})
}

func TestStoreOfOriginsFails(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.register(0).Began(1, first, 5*time.Minute)
		time.Sleep(writeTime)
		s.store.set(true, false)
		before := s.store.load().writes
		for i := range 100 {
			s.register(0).Began(Key(100+i), first, 5*time.Minute)
			time.Sleep(time.Second)
		}
		if calls := s.store.load().writes - before; calls > 30 {
			t.Errorf("%d writes in 100 s to a store that fails", calls)
		}
		s.store.set(true, true) // done, but not answered
		time.Sleep(2 * maxWritePause)
		s.store.set(false, false)
		time.Sleep(2*maxWritePause + writeTime)
		s.start()
		for _, key := range []Key{1, 100, 199} {
			if f := s.find(3, key); !f.Known || f.Origin != first {
				t.Errorf("stream %d: found %+v", key, f)
			}
		}
	})
}

func TestFindWaitsForAStoreThatFails(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.store.set(true, false)
		for i := range 60 {
			if f := s.find(i%9, Key(i)); f.Known {
				t.Errorf("found %+v", f)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if most := minKeepers * int(6*time.Second/readInterval+1); s.store.load().reads > most {
			t.Errorf("%d reads in 6 s, want %d at most", s.store.load().reads, most)
		}
	})
}

func TestExpiredOriginsStay(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.register(0).Began(1, first, time.Minute)
		time.Sleep(writeTime)
		s.start()
		time.Sleep(MaxLifetime)
		if f := s.find(1, 1); f.Known {
			t.Errorf("found %+v", f)
		}
		time.Sleep(MaxLifetime)
		s.find(1, 1)
		synctest.Wait()
		if s.store.load().rows > 0 {
			t.Errorf("%d rows are left", s.store.load().rows)
		}
	})
}

func TestConflictingStoredOriginsAreGuessed(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.register(0).Began(1, first, time.Minute)
		s.register(5).Began(1, second, time.Minute)
		time.Sleep(writeTime)
		s.start()
		if f := s.find(1, 1); f.Known || !f.Conflicting {
			t.Errorf("found %+v", f)
		}
	})
}

// formerTransport hands messages on as a build does that knows no store.
type formerTransport struct{ transport }

func (t formerTransport) Send(address string, message peer.Message) {
	if m, is := message.(Began); is {
		m.Groups = slices.Clone(m.Groups)
		for i := range m.Groups {
			m.Groups[i].Store = false
		}
		message = m
	}
	t.transport.Send(address, message)
}

func (t formerTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	if m, is := message.(Find); is {
		m.Stored = false
		message = m
	}
	return t.transport.Call(ctx, address, message)
}

func TestFormerBuildsKnowNoStore(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		for i, node := range s.nodes {
			s.register(i).Transport = formerTransport{transport{s.network, node.Address}}
		}
		s.register(0).Began(1, first, time.Minute)
		time.Sleep(writeTime)
		if f := s.find(1, 1); !f.Known || f.Origin != first {
			t.Errorf("found %+v", f)
		}
		s.start()
		if f := s.find(1, 1); f.Known {
			t.Errorf("found %+v, which nobody stored", f)
		}
	})
}

func TestLoadOfTheStoreGrowsWithTheSite(t *testing.T) {
	const seconds = 4
	for _, c := range []struct{ size, perSecond int }{{6, 20}, {9, 60}, {110, 50}, {330, 5400}, {985, 200}} {
		inSite(t, c.size, func(t *testing.T, s *storedSite) {
			for i := range c.perSecond * seconds {
				s.register(i%c.size).Began(Key(i), first, 20*time.Second)
				time.Sleep(time.Second / time.Duration(c.perSecond))
			}
			time.Sleep(writeTime)
			l := s.store.load()
			t.Logf("%d nodes, %d streams a second: %d writes and %d bytes of keys a second, %d rows, of %d streams at most",
				c.size, c.perSecond, l.writes/seconds, l.bytes/seconds, l.rows, l.largest)
			if most := 2 * keepersPerInterval * (seconds + 2); l.writes > most {
				t.Errorf("%d writes in %d s", l.writes, seconds)
			}
			s.start()
			for i := 0; i < c.size; i += 1 + c.size/50 {
				if f := s.find(i, Key(i%(c.perSecond*seconds))); !f.Known {
					t.Fatalf("node %d found %+v", i, f)
				}
			}
			if keepers := max(minKeepers, c.size/nodesPerKeeper+1); s.store.load().reads > 2*keepers {
				t.Errorf("%d reads by %d keepers", s.store.load().reads, keepers)
			}
		})
	}
}

func TestWritesGrowWithoutBound(t *testing.T) {
	for size, want := range map[int]time.Duration{9: archiveInterval, 985: archiveInterval, 3000: 2 * archiveInterval, 20_000: 10 * archiveInterval} {
		nodes := nodesOf(size)
		if got := newNetwork().add(nodes[0], func() []Node { return nodes }).writeInterval(); got != want {
			t.Errorf("%d nodes: %v, want %v", size, got, want)
		}
	}
}

func TestRowsOfAnArchiveAreBounded(t *testing.T) {
	inSite(t, 3, func(t *testing.T, s *storedSite) {
		for i := range 20 * archiveRows {
			for j := range 10 {
				s.register(0).Began(Key(10*i+j), first, 10*time.Second)
			}
			time.Sleep(archiveInterval / 2)
		}
		if rows := s.store.load().rows; rows > 3*archiveRows {
			t.Errorf("%d rows", rows)
		}
		for i := range 3 * maxWaiting {
			s.register(0).Began(Key(1e6+i), first, 10*time.Second)
		}
		time.Sleep(10 * time.Second)
		if largest := s.store.load().largest; largest > maxRowStreams {
			t.Errorf("a row of %d streams", largest)
		}
		dropped := 0
		for i := range s.nodes {
			_, n := s.register(i).openArchive().counts()
			dropped += n
		}
		if dropped == 0 {
			t.Errorf("none of %d streams was left out", 3*maxWaiting)
		}
	})
}

// Guards against one of two origins of an attempt that is stored alone, while all nodes know of both.
func TestORDERConflictingOriginsAreStoredAsOne(t *testing.T) {
	for name, pause := range map[string]time.Duration{"before the first is written": 0, "after the first is written": writeTime} {
		t.Run(name, func(t *testing.T) {
			inSite(t, 9, func(t *testing.T, s *storedSite) {
				s.register(0).Began(1, first, time.Minute)
				time.Sleep(pause)
				s.register(0).Began(1, second, time.Minute)
				time.Sleep(writeTime)
				if f := s.find(1, 1); f.Known || !f.Conflicting {
					t.Errorf("nodes found %+v", f)
				}
				s.start()
				if f := s.find(1, 1); f.Known || !f.Conflicting {
					t.Errorf("found %+v in the store", f)
				}
			})
		})
	}
}

// Guards against expired rows that are never removed, since there are more of them than one transaction may have.
func TestManyExpiredOriginsStay(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		for i := range 2 * archiveRows {
			_ = s.store.Write(t.Context(), rowKey(fmt.Sprintf("former-%d", i/archiveRows), uint64(i)), Record{Number: uint64(i)}) // does not fail
		}
		time.Sleep(2*MaxLifetime + time.Second)
		for range 2*archiveRows/(storeEntries/2) + 1 {
			s.find(1, 1)
			time.Sleep(readInterval)
		}
		if rows := s.store.load().rows; rows > 0 {
			t.Errorf("%d rows are left", rows)
		}
	})
}

// Guards against rows of before a restart that are overwritten by keepers that could not read them.
func TestLOSTRowsAreOverwrittenUnread(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.register(0).Began(1, first, time.Minute)
		time.Sleep(writeTime)
		s.store.setUnread(true)
		s.start()
		before := s.store.load().writes
		for i := range 20 {
			s.register(0).Began(Key(100+i), first, time.Minute)
			time.Sleep(archiveInterval)
		}
		if writes := s.store.load().writes - before; writes > 0 {
			t.Errorf("%d writes before a read", writes)
		}
		s.store.setUnread(false)
		time.Sleep(readInterval)
		if f := s.find(1, 1); !f.Known {
			t.Errorf("found %+v", f)
		}
	})
}

// Guards against nodes that end, or learn what nobody wrote, since a row is not whole.
func TestBrokenRowsOfOriginsAreRead(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		whole := binary.BigEndian.AppendUint64(nil, 1)
		_ = s.store.Write(t.Context(), rowKey("former", 0), Record{Groups: []StoredGroup{{first, append(whole, 2, 3)}}}) // does not fail
		if f := s.find(1, 1); !f.Known {
			t.Errorf("found %+v", f)
		}
	})
}

// Guards against callers that wait for a store which does not answer.
func TestSilentStoresDelayCallers(t *testing.T) {
	inSite(t, 9, func(t *testing.T, s *storedSite) {
		s.store.mu.Lock()
		s.store.silent = true
		s.store.mu.Unlock()
		for i := range s.nodes {
			began := time.Now()
			if f := s.find(i, 1); f.Known || time.Since(began) > askTime+storedAskTime {
				t.Errorf("node %d found %+v after %v", i, f, time.Since(began))
			}
		}
		time.Sleep(readTimeout)
	})
}
