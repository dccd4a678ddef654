package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

// Guards against holds that together exceed the budget, and holders that a crowd leaves without the free part.
func TestHoldsStayWithinTheBudget(t *testing.T) {
	b := &Budget{Limit: 3 * FreeBytes}
	first, second, third := b.Hold(), b.Hold(), b.Hold()
	if !first.Resize(3*FreeBytes) || second.Resize(3*FreeBytes) {
		t.Fatal("the second hold exceeds the budget")
	}
	if !third.Resize(FreeBytes) {
		t.Fatal("the free part is refused")
	}
	if u := b.Usage(); u.Used != 2*FreeBytes || u.Refused != 1 {
		t.Fatalf("usage %+v", u)
	}
	first.Release()
	if !second.Resize(4*FreeBytes) || b.Usage().Used != 3*FreeBytes {
		t.Fatalf("released memory is not available: %+v", b.Usage())
	}
}

// Guards against buffers that keep less or more than what came, whatever length was announced.
func TestBufferKeepsWhatComes(t *testing.T) {
	for _, length := range []int{0, 1, 511, 512, 513, 100_000} {
		content := strings.Repeat("x", length)
		for _, announced := range []int64{-1, 0, int64(length), int64(length) + 7, 1 << 40} {
			for name, r := range map[string]io.Reader{
				"at once": strings.NewReader(content), "with its end": iotest.DataErrReader(strings.NewReader(content)),
				"in bytes": iotest.OneByteReader(strings.NewReader(content)),
			} {
				budget := &Budget{Limit: 1 << 20}
				b := NewBuffer(budget)
				if err := b.Fill(r, announced, int64(length)); err != nil || string(b.Bytes()) != content {
					t.Errorf("%d bytes, %d announced, %s: %d, %v", length, announced, name, b.Len(), err)
				}
				b.Release()
				if u := budget.Usage(); u.Used != 0 {
					t.Errorf("%d bytes, %d announced, %s: %d are still held", length, announced, name, u.Used)
				}
			}
		}
	}
}

// Guards against a message that takes more memory than it may.
func TestBufferEndsAtItsLimits(t *testing.T) {
	for _, c := range []struct {
		name      string
		announced int64
		limit     int64
		budget    int64
		want      error
	}{
		{"too long", -1, 1 << 20, 0, ErrTooLong},
		{"longer than announced", 1 << 19, 1 << 20, 0, ErrTooLong},
		{"no room", -1, 1 << 30, 1 << 20, ErrUsedUp},
		{"no room for what was announced", 1 << 30, 1 << 30, 1 << 20, ErrUsedUp},
	} {
		budget := &Budget{Limit: c.budget}
		b := NewBuffer(budget)
		if err := b.Fill(endless{}, c.announced, c.limit); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		if most := budget.Usage().Most; c.budget > 0 && most > c.budget || most > 4*c.limit {
			t.Errorf("%s: %d bytes were held", c.name, most)
		}
	}
}

// endless is a reader that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a buffer that keeps the memory of what it has discarded.
func TestBufferReturnsWhatItDiscards(t *testing.T) {
	budget := &Budget{Limit: 1 << 20}
	b := NewBuffer(budget)
	if !b.Append(bytes.Repeat([]byte("x"), 100_000)) || !b.Append([]byte("rest")) {
		t.Fatal("no room")
	}
	b.Discard(100_000)
	if string(b.Bytes()) != "rest" {
		t.Fatalf("content %q", b.Bytes())
	}
	b.Discard(len("rest"))
	if u := budget.Usage(); u.Used != 0 || b.Len() != 0 {
		t.Fatalf("%d bytes are still held", u.Used)
	}
}

// Guards against ordinary messages that need the budget while their buffers grow.
func TestBufferOfTheFreePartNeedsNoBudget(t *testing.T) {
	budget := &Budget{Limit: 1}
	for _, piece := range []int{1, 100, FreeBytes / 2, FreeBytes} {
		b := NewBuffer(budget)
		for b.Len()+piece <= FreeBytes {
			if !b.Append(make([]byte, piece)) {
				t.Fatalf("no room for %d bytes in pieces of %d", b.Len()+piece, piece)
			}
		}
		b.Release()
	}
	content := strings.NewReader(strings.Repeat("x", FreeBytes-1))
	if err := NewBuffer(budget).Fill(content, -1, 1<<20); err != nil {
		t.Errorf("a message of unknown length: %v", err)
	}
}

// Guards against a message of the largest size that is refused since its buffer grows beyond it.
func TestLargestMessageFitsBesideItsHalf(t *testing.T) {
	const limit = 1 << 20
	for _, announced := range []int64{-1, limit} {
		b := &Budget{Limit: limit * 3 / 2}
		message := NewIncoming(b, func() {})
		if err := message.Fill(bytes.NewReader(make([]byte, limit)), announced, limit); err != nil || message.Len() != limit {
			t.Errorf("%d announced: %d, %v", announced, message.Len(), err)
		}
		if err := NewIncoming(&Budget{}, func() {}).Fill(bytes.NewReader(make([]byte, limit+1)), announced, limit); err != ErrTooLong {
			t.Errorf("%d announced, one byte more: %v", announced, err)
		}
	}
}

// Guards against a crowd of messages that have stalled and keep their memory from others.
func TestStalledMessageGivesWay(t *testing.T) { synctest.Test(t, stalledMessageGivesWay) }

func stalledMessageGivesWay(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	end, written := io.Pipe()
	stalled := NewIncoming(b, func() { _ = end.CloseWithError(io.ErrClosedPipe) })
	gaveWay := make(chan error)
	go func() { gaveWay <- stalled.Fill(end, 1<<20, 1<<20) }()
	if _, err := written.Write(make([]byte, 400<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stallTime)
	other := NewIncoming(b, func() { t.Error("the other gives way") })
	if err := other.Fill(bytes.NewReader(make([]byte, 512<<10)), -1, 512<<10); err != nil {
		t.Errorf("the other: %v", err)
	}
	if err := <-gaveWay; err != ErrGaveWay {
		t.Errorf("the stalled one: %v", err)
	}
	if u := b.Usage(); u.Used != 512<<10-FreeBytes || u.Yielded != 1 {
		t.Errorf("usage %+v", u)
	}
}

// Guards against messages that go on and are cut for the sake of newer ones.
func TestMessagesThatGoOnAreKept(t *testing.T) { synctest.Test(t, messagesThatGoOnAreKept) }

func messagesThatGoOnAreKept(t *testing.T) {
	b := &Budget{Limit: 2 << 20}
	going := NewIncoming(b, func() { t.Error("a message that goes on gives way") })
	begun, done := make(chan struct{}), make(chan struct{})
	end := make(chan error)
	go func() { end <- going.Fill(&endedBy{begun: begun, done: done}, 700<<10, 1<<20) }()
	<-begun
	if err := NewIncoming(b, func() {}).Fill(endless{}, 700<<10, 700<<10); err != ErrUsedUp {
		t.Errorf("the newer: %v", err)
	}
	close(done)
	if err := <-end; err != nil {
		t.Error(err)
	}
}

// endedBy is a reader of 700 KiB, the last of which come after done is closed.
type endedBy struct {
	begun, done chan struct{}
	read        int
}

func (r *endedBy) Read(p []byte) (int, error) {
	if r.read == 700<<10 {
		return 0, io.EOF
	}
	n := min(len(p), 700<<10-r.read)
	if r.read < 600<<10 && r.read+n >= 600<<10 {
		close(r.begun)
		<-r.done
	}
	r.read += n
	return n, nil
}

// Guards against large messages that leave no memory to small ones.
func TestSpareIsLeftToSmallMessages(t *testing.T) {
	b := &Budget{Limit: 1 << 20, Spare: 1 << 18, Small: 1 << 17}
	large, small := b.Hold(), b.Hold()
	if large.Resize(1<<20) || !large.Resize(3<<18) || !small.Resize(1<<17) {
		t.Errorf("usage %+v", b.Usage())
	}
}

// Guards against groups that leave no memory to those that come later.
func TestGroupsLeaveMemoryToLaterOnes(t *testing.T) {
	const unit = 16 << 10
	b := &Budget{Limit: 100 * unit, GroupFactor: 3}
	held := make(map[string]int)
	var all []*Buffer
	for _, group := range []string{"first", "second", "third"} {
		for {
			one := NewGroupBuffer(b, group)
			if !one.Append(make([]byte, unit+FreeBytes)) {
				break
			}
			held[group]++
			all = append(all, one)
		}
	}
	if held["first"] != 75 || held["second"] != 18 || held["third"] != 5 {
		t.Errorf("units held: %v", held)
	}
	for _, one := range all {
		one.Release()
	}
	if u := b.Usage(); u.Used != 0 || len(b.groups) != 0 {
		t.Errorf("%+v, groups %v", u, b.groups)
	}
	if others := NewBuffer(b); !others.Append(make([]byte, 99*unit)) {
		t.Error("a holder of no group is limited")
	}
}

// Guards against memory that is not counted while a buffer grows, and against trust in the length that was announced.
func TestBufferCountsItsCopies(t *testing.T) {
	budget := &Budget{}
	b := NewBuffer(budget)
	b.Append(make([]byte, 100_000))
	b.Append(make([]byte, 1))
	if most := budget.Usage().Most; most < 300_000-FreeBytes {
		t.Errorf("%d bytes were counted", most)
	}
	budget = &Budget{}
	if err := NewBuffer(budget).Fill(strings.NewReader("short"), 1<<30, 1<<30); err != nil || budget.Usage().Most > maxTrusted {
		t.Errorf("%+v for a message of some bytes, %v", budget.Usage(), err)
	}
}

// piped is a message that begins with some bytes, followed by what is written to rest.
type piped struct {
	rest  *io.PipeWriter
	ended chan error
}

func fillPiped(t *testing.T, b *Budget, first int) piped {
	t.Helper()
	r, w := io.Pipe()
	in := NewIncoming(b, func() { _ = r.CloseWithError(io.ErrClosedPipe) })
	p := piped{w, make(chan error, 1)}
	go func() { p.ended <- in.Fill(r, -1, 1<<20) }()
	if _, err := w.Write(make([]byte, first)); err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against messages that give way though they hold nothing that others need, before those that do.
func TestMessagesThatHoldNothingAreKept(t *testing.T) {
	synctest.Test(t, messagesThatHoldNothingAreKept)
}

func messagesThatHoldNothingAreKept(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	small := fillPiped(t, b, FreeBytes/2)
	time.Sleep(time.Millisecond)
	large := fillPiped(t, b, 400<<10)
	time.Sleep(2 * stallTime)
	began := time.Now()
	if err := NewIncoming(b, func() {}).Fill(bytes.NewReader(make([]byte, 512<<10)), -1, 512<<10); err != nil || time.Since(began) > 0 {
		t.Errorf("the newest, after %v: %v", time.Since(began), err)
	}
	_, _ = small.rest.Write([]byte("rest")) // fails if it gave way
	_ = small.rest.Close()
	if err := <-small.ended; err != nil {
		t.Errorf("the small one: %v", err)
	}
	_ = large.rest.Close()
	if err := <-large.ended; err != ErrGaveWay {
		t.Errorf("the large one: %v", err)
	}
}

// Guards against messages that wait for memory and keep a stop waiting.
func TestMessagesThatWaitEndAtOnce(t *testing.T) { synctest.Test(t, messagesThatWaitEndAtOnce) }

func messagesThatWaitEndAtOnce(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	r, w := io.Pipe()
	slow := make(chan error, 1)
	go func() { slow <- NewIncoming(b, func() {}).Fill(r, -1, 1<<20) }() // is slow to give way
	if _, err := w.Write(make([]byte, 400<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stallTime)
	began, waits := time.Now(), make(chan error, 1)
	go func() {
		waits <- NewIncoming(b, func() {}).Fill(bytes.NewReader(make([]byte, 512<<10)), -1, 512<<10)
	}()
	time.Sleep(maxRoomWait / 10)
	b.YieldAll()
	if err := <-waits; err != ErrGaveWay || time.Since(began) > maxRoomWait/10 {
		t.Errorf("after %v: %v", time.Since(began), err)
	}
	_ = w.Close()
	if err := <-slow; err != ErrGaveWay {
		t.Errorf("the slow one: %v", err)
	}
}

// fillSlow begins a message that holds 512 KiB and has stalled, and does not give way before it is closed.
func fillSlow(t *testing.T, b *Budget) piped {
	t.Helper()
	r, w := io.Pipe()
	p := piped{w, make(chan error, 1)}
	go func() { p.ended <- NewIncoming(b, func() {}).Fill(r, -1, 1<<20) }()
	if _, err := w.Write(make([]byte, 400<<10)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stallTime)
	return p
}

// Guards against messages that give way for others while, or just since, they waited for memory themselves.
func TestMessagesThatWaitHaveNotStalled(t *testing.T) {
	synctest.Test(t, messagesThatWaitHaveNotStalled)
}

func messagesThatWaitHaveNotStalled(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	slow := fillSlow(t, b)
	waits := fillPiped(t, b, 256<<10)
	synctest.Wait() // it waits for another 512 KiB
	time.Sleep(2 * stallTime)
	if b.YieldLongest() {
		t.Error("the message that waits, or again the one that was told to, gives way")
	}
	_ = slow.rest.Close()
	if err := <-slow.ended; err != ErrGaveWay {
		t.Errorf("the slow one: %v", err)
	}
	synctest.Wait()
	if b.YieldLongest() {
		t.Error("the message that has just waited gives way")
	}
	_ = waits.rest.Close()
	if err := <-waits.ended; err != nil {
		t.Errorf("the message that waited: %v", err)
	}
	time.Sleep(2 * stallTime)
	if b.YieldLongest() || b.Usage().Used != 512<<10-FreeBytes {
		t.Errorf("a message that has ended gives way, %+v", b.Usage())
	}
}

// Guards against several messages that are cut where one is enough.
func TestOneMessageGivesWayAtATime(t *testing.T) { synctest.Test(t, oneMessageGivesWayAtATime) }

func oneMessageGivesWayAtATime(t *testing.T) {
	b := &Budget{Limit: 1700 << 10}
	slow := []piped{fillSlow(t, b), fillSlow(t, b)}
	var waiting []piped
	for range 2 {
		waiting = append(waiting, fillPiped(t, b, 256<<10))
		synctest.Wait()
	}
	if u := b.Usage(); u.Yielded != 1 {
		t.Errorf("usage %+v", u)
	}
	b.YieldAll()
	for _, p := range append(slow, waiting...) {
		_ = p.rest.Close()
		if err := <-p.ended; err != ErrGaveWay {
			t.Error(err)
		}
	}
}

// Guards against messages that are kept by single bytes.
func TestSingleBytesAreNoProgress(t *testing.T) { synctest.Test(t, singleBytesAreNoProgress) }

func singleBytesAreNoProgress(t *testing.T) {
	b := &Budget{Limit: 1 << 20}
	p := fillPiped(t, b, 400<<10)
	for range 10 {
		time.Sleep(stallTime / 5)
		_, _ = p.rest.Write([]byte("a")) // does not fail
	}
	if !b.YieldLongest() {
		t.Error("the message is kept")
	}
	if err := <-p.ended; err != ErrGaveWay {
		t.Error(err)
	}
}

// Guards against messages beyond a limit that is smaller than a buffer.
func TestSmallLimitsHold(t *testing.T) {
	if err := NewBuffer(nil).Fill(strings.NewReader(strings.Repeat("a", firstBytes/2)), -1, firstBytes/4); err != ErrTooLong {
		t.Error(err)
	}
}
