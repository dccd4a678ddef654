package loadtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Unruly are callers that do not behave, beside the streams: each keeps one connection open at a time for the duration of
// the run, and opens the next one if the node ends it.
type Unruly struct {
	StalledBodies int // callers whose body stops a byte short of its length
	SmallChunks   int // callers whose body comes in chunks of a byte and does not end
	HalfHeads     int // callers whose head does not end
	Unread        int // callers that send whole requests in a row and read no answer
	BodyBytes     int // of the bodies
	// Remote allows nodes that are not on a loopback address.
	Remote bool
}

// UnrulyCount counts the connections of one kind of callers that do not behave.
type UnrulyCount struct {
	Opened   int   `json:"opened"`
	Failed   int   `json:"failed"`   // the node did not accept them
	Answered int   `json:"answered"` // the node answered, such as with a refusal
	Closed   int   `json:"closed"`   // the node ended them without an answer
	Stayed   int   `json:"stayed"`   // until the end of the run
	Bytes    int64 `json:"bytes"`    // sent
}

// Bounds of callers that do not behave.
const (
	maxUnruly       = 2000     // connections at once
	maxUnrulyBody   = 64 << 20 // bytes
	unrulyHeadBytes = 12 << 10 // of a head that does not end
	unrulyWrite     = 64 << 10 // bytes of one write
	unreadWindow    = 4 << 10  // bytes that callers that do not read have room for
	reopenPause     = 500 * time.Millisecond
)

// count returns the number of callers.
func (u *Unruly) count() int { return u.StalledBodies + u.SmallChunks + u.HalfHeads + u.Unread }

// faults returns what is wrong with the options.
func (u *Unruly) faults(nodes []string) map[string]bool {
	all := u.count()
	remote := false
	for _, node := range nodes {
		remote = remote || !isLoopback(node)
	}
	return map[string]bool{
		"a negative number of callers that do not behave":                 min(u.StalledBodies, u.SmallChunks, u.HalfHeads, u.Unread) < 0,
		fmt.Sprintf("more than %d callers that do not behave", maxUnruly): all > maxUnruly,
		fmt.Sprintf("bodies not of 1 to %d bytes", maxUnrulyBody):         all > u.HalfHeads && (u.BodyBytes < 1 || u.BodyBytes > maxUnrulyBody),
		"callers that do not behave, for nodes beyond loopback":           all > 0 && remote && !u.Remote,
	}
}

// isLoopback reports whether an address is on the loopback network.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// unrulyCaller is one caller that does not behave.
type unrulyCaller struct {
	options *Options
	kind    string
	name    string
	node    string
	total   *unrulyTotals
}

// Kinds of callers that do not behave, as in results.
const (
	kindStalledBodies = "stalled_bodies"
	kindSmallChunks   = "small_chunks"
	kindHalfHeads     = "half_heads"
	kindUnread        = "unread"
)

// unrulyTotals sums up connections by kind. It is safe for concurrent use.
type unrulyTotals struct {
	mu    sync.Mutex
	kinds map[string]*UnrulyCount
}

// add changes the counts of a kind.
func (t *unrulyTotals) add(kind string, change func(c *UnrulyCount)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = make(map[string]*UnrulyCount)
	}
	if t.kinds[kind] == nil {
		t.kinds[kind] = &UnrulyCount{}
	}
	change(t.kinds[kind])
}

// startUnruly starts the callers that do not behave. They end with ctx.
func startUnruly(ctx context.Context, o *Options, callers *sync.WaitGroup, total *unrulyTotals) {
	started := 0
	for kind, n := range map[string]int{
		kindStalledBodies: o.Unruly.StalledBodies, kindSmallChunks: o.Unruly.SmallChunks,
		kindHalfHeads: o.Unruly.HalfHeads, kindUnread: o.Unruly.Unread,
	} {
		for i := range n {
			c := &unrulyCaller{options: o, kind: kind, name: fmt.Sprintf("%s-%x-%d", kind, o.Seed, i), node: o.Nodes[started%len(o.Nodes)], total: total}
			started++
			callers.Go(func() { c.run(ctx) })
		}
	}
}

// run opens one connection after the other until ctx ends.
func (c *unrulyCaller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.connect(ctx, n)
		select {
		case <-ctx.Done():
		case <-time.After(reopenPause):
		}
	}
}

// connect opens a connection, and holds it until the node ends it or ctx ends.
func (c *unrulyCaller) connect(ctx context.Context, n int) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.node)
	if err != nil {
		if ctx.Err() == nil {
			c.total.add(c.kind, func(k *UnrulyCount) { k.Failed++ })
		}
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	c.total.add(c.kind, func(k *UnrulyCount) { k.Opened++ })
	w := &countingWriter{w: conn}
	if c.kind == kindUnread {
		c.sendUnread(conn, w, n)
	} else {
		c.sendPart(conn, w, n)
	}
}

// countingWriter counts what was written.
type countingWriter struct {
	w     io.Writer
	bytes int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.bytes += int64(n)
	return n, err
}

// sendPart sends a part of a request, and waits for what the node does.
func (c *unrulyCaller) sendPart(conn net.Conn, w *countingWriter, n int) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_ = c.writePart(w, n) // the node may refuse it meanwhile, which the reader sees
	}()
	_, err := http.ReadResponse(bufio.NewReader(conn), nil)
	_ = conn.Close()
	<-sent
	c.end(w, err == nil, err)
}

// end counts how a connection ended.
func (c *unrulyCaller) end(w *countingWriter, answered bool, err error) {
	c.total.add(c.kind, func(k *UnrulyCount) {
		k.Bytes += w.bytes
		switch {
		case answered:
			k.Answered++
		case errors.Is(err, net.ErrClosed): // by the caller itself, at the end of the run
			k.Stayed++
		default:
			k.Closed++
		}
	})
}

// head returns the lines of a request's head, without its end.
func (c *unrulyCaller) head(n int) string {
	o := c.options
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: %d\r\n", o.Path, o.Host, o.IDHeader, c.name, n, o.DeadlineHeader, o.Deadline.Milliseconds())
	_ = o.Header.Write(&b) // never fails
	return b.String()
}

// writePart writes a request short of its end.
func (c *unrulyCaller) writePart(w io.Writer, n int) error {
	bytes := c.options.Unruly.BodyBytes
	head, piece, count := "", "", 0
	switch c.kind {
	case kindStalledBodies:
		head, piece, count = fmt.Sprintf("Content-Length: %d\r\n\r\n", bytes), "a", bytes-1
	case kindSmallChunks:
		head, piece, count = "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", bytes
	case kindHalfHeads:
		head, piece, count = "X-Filler: ", "a", unrulyHeadBytes
	}
	if _, err := io.WriteString(w, c.head(n)+head); err != nil {
		return err
	}
	return writeRepeated(w, piece, count)
}

// writeRepeated writes a piece again and again.
func writeRepeated(w io.Writer, piece string, count int) error {
	most := unrulyWrite / len(piece)
	block := strings.Repeat(piece, min(most, count))
	for ; count > 0; count -= most {
		if _, err := io.WriteString(w, block[:min(most, count)*len(piece)]); err != nil {
			return err
		}
	}
	return nil
}

// sendUnread sends whole requests in a row, and reads no answer.
func (c *unrulyCaller) sendUnread(conn net.Conn, w *countingWriter, n int) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(unreadWindow) // with a larger one the node writes more before it waits
	}
	for i := 0; ; i++ {
		text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.head(n*maxUnreadRequests+i), c.options.Unruly.BodyBytes)
		_, err := io.WriteString(w, text)
		if err == nil {
			err = writeRepeated(w, "a", c.options.Unruly.BodyBytes)
		}
		if err != nil || i == maxUnreadRequests {
			c.end(w, false, err)
			return
		}
	}
}

// maxUnreadRequests bounds the requests of a connection whose answers are not read.
const maxUnreadRequests = 10_000
