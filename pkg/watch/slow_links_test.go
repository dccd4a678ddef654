package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/peer"
)

// slowLinks limits the bytes that each node sends. What a node sends at the same time shares its link evenly. Bytes
// that nobody waits for any more are sent as well.
type slowLinks struct {
	perSecond int // bytes

	mu    sync.Mutex
	links map[string][]*transfer // messages that a node is sending
}

// transfer is a message on its way.
type transfer struct {
	left    int // bytes
	arrived chan struct{}
}

// linkTick is the time in which the messages on a link advance.
const linkTick = 10 * time.Millisecond

// send returns a channel that is closed when a message of the given size has arrived.
func (s *slowLinks) send(from string, size int) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &transfer{size, make(chan struct{})}
	if s.links == nil {
		s.links = make(map[string][]*transfer)
	}
	s.links[from] = append(s.links[from], m)
	if len(s.links[from]) == 1 {
		go s.run(from)
	}
	return m.arrived
}

// run sends a node's messages until none is left.
func (s *slowLinks) run(from string) {
	for more := true; more; {
		time.Sleep(linkTick)
		s.mu.Lock()
		s.links[from] = advance(s.links[from], int(float64(s.perSecond)*linkTick.Seconds()))
		more = len(s.links[from]) > 0
		s.mu.Unlock()
	}
}

// advance divides bytes among messages, and returns those that have not arrived.
func advance(messages []*transfer, bytes int) []*transfer {
	for len(messages) > 0 && bytes >= len(messages) {
		share := bytes / len(messages)
		messages = slices.DeleteFunc(messages, func(m *transfer) bool {
			sent := min(m.left, share)
			m.left -= sent
			bytes -= sent
			if m.left == 0 {
				close(m.arrived)
			}
			return m.left == 0
		})
	}
	return messages
}

// set changes the bytes that each node sends in a second.
func (s *slowLinks) set(perSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.perSecond = perSecond
}

// drain waits until no message is on its way.
func (s *slowLinks) drain() {
	busy := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, l := range s.links {
			if len(l) > 0 {
				return true
			}
		}
		return false
	}
	for busy() {
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
}

// slowTransport is a node's transport over slow links.
type slowTransport struct {
	nodeTransport
	links *slowLinks
}

func (s slowTransport) Send(address string, message peer.Message) {
	arrived := s.links.send(s.name, sizeOf(message))
	go func() {
		<-arrived
		s.nodeTransport.Send(address, message)
	}()
}

func (s slowTransport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	reply, err := s.nodeTransport.Call(ctx, address, message)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.links.send(address, sizeOf(reply)):
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// randomValue returns a row's value of a size that hardly compresses.
func randomValue(bytes int) string {
	var b strings.Builder
	for range bytes {
		b.WriteByte(byte(rand.IntN(256)))
	}
	return b.String()
}

// withRandomValues gives the rows of a fleet's store such values before the first node starts.
func withRandomValues(rows, bytes int) func(*Hub) {
	var once sync.Once
	return func(h *Hub) {
		once.Do(func() {
			for i := range rows {
				h.Tables[0].Source.(prober).store.put(rowKey(i), randomValue(bytes))
			}
		})
	}
}

func TestNodesNeverGetTheirRowsOverSlowLinks(t *testing.T) {
	const size, rows, rowBytes, linkBytes, limit = 300, 3000, 130, 1_250_000, 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		links := &slowLinks{perSecond: linkBytes}
		f := startFleet(size, rows, withRandomValues(rows, rowBytes), func(h *Hub) {
			h.FirstStart = false
			h.Known = func() bool { return time.Since(began) > time.Second }
			h.Transport = slowTransport{h.Transport.(nodeTransport), links}
		})
		defer func() {
			f.end()
			links.drain()
		}()
		time.Sleep(limit)
		late := 0
		for name, table := range f.tables {
			if missing, held, _ := table.partStatus(); missing != 0 || held == 0 {
				late++
				t.Logf("%s lacks %d parts and has %d", name, missing.count(), held.count())
			}
		}
		if late > 0 {
			t.Errorf("%d nodes lack rows after %v", late, limit)
		}
	})
}

func TestAPartIsAskedForAgainBeforeItsAnswerArrives(t *testing.T) {
	const size, rows, rowBytes, linkBytes = 200, 4000, 130, 40_000
	synctest.Test(t, func(t *testing.T) {
		links := &slowLinks{perSecond: 1 << 30}
		f := startFleet(size, rows, withRandomValues(rows, rowBytes), func(h *Hub) { h.Transport = slowTransport{h.Transport.(nodeTransport), links} })
		defer func() {
			f.end()
			links.drain()
		}()
		f.waitSettled(t)
		leaf := f.leaves()[0]
		i := 0
		for f.value(leaf, rowKey(i)) != "" {
			i++
		}
		links.set(linkBytes)
		f.net.resetCounts()
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			_ = leaf.hub.Cover(ctx, "t", rowKey(i)) // its answer takes longer
			cancel()
			time.Sleep(50 * time.Millisecond)
		}
		if f.value(leaf, rowKey(i)) == "" {
			t.Error("the part did not come")
		}
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		if part := rows * (rowBytes + messageOverhead) / PartCount; f.net.received[leaf.hub.Self.Name] > 3*part {
			t.Errorf("the node was sent %d bytes, a part has some %d", f.net.received[leaf.hub.Self.Name], part)
		}
	})
}
