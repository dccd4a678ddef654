package lineage

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/clock"
)

// Store keeps the rows of archives. It outlives all nodes.
type Store interface {
	// Read returns all rows.
	Read(ctx context.Context) ([]Row, error)
	// Write writes a row, whatever is stored under its key. After an error it may have been done, or be done later.
	Write(ctx context.Context, key string, record Record) error
	// Remove removes rows, unless one of them has changed since it was read.
	Remove(ctx context.Context, rows []Row) error
}

// Row is a row of an archive.
type Row struct {
	Key     string
	Version uint64        // changes with each write
	Age     time.Duration // by the store's clock
	Record  Record
}

// Record is the value of a row: the origins of streams.
type Record struct {
	Number uint64 // of the row among those that its node wrote
	Groups []StoredGroup
}

// StoredGroup are streams that began at the same service and software version.
type StoredGroup struct {
	Origin  Origin
	Streams []byte // keys of eight bytes each
}

// Times and limits of an archive.
const (
	// archiveInterval is the time between two writes of a keeper. What it has not written when all nodes go is lost.
	archiveInterval = 500 * time.Millisecond
	// keepersPerInterval limits the writes of all keepers together: with more of them, each writes less often.
	keepersPerInterval = 64
	// archiveRows is the number of rows that a keeper writes in turn, so that each stays for 48 s at least.
	archiveRows = 96
	// rewriteAfter is the age at which a stream that may still be taken up is written again: its row is overwritten
	// soon.
	rewriteAfter = 20 * time.Second
	// maxRowStreams keeps rows below some 30 kB in base64.
	maxRowStreams = 2048
	// maxWaiting limits the streams that wait to be written.
	maxWaiting = 4 * maxRowStreams
	// readInterval is the least time between two reads of the archive by a node.
	readInterval = 2 * time.Second
	// readTimeout and writeTimeout limit one call of the store.
	readTimeout  = 3 * time.Second
	writeTimeout = time.Second
	// maxWritePause limits the pause after failed writes, which doubles with each.
	maxWritePause = 8 * time.Second
	// storedLifetime is how long a node remembers a stream that it read.
	storedLifetime = time.Minute
	// maxRemoved limits the rows that are removed at once. Each takes two entries of a transaction, which may have 100.
	maxRemoved = 50
)

const keyBytes = 8

// archived is one origin of a stream. Different ones of a stream are all written, so that none counts.
type archived struct {
	key    Key
	origin Origin
}

// archive is a keeper's part in writing origins to the store, and a node's in reading them. The zero value with
// a store is ready to use. It is safe for concurrent use.
type archive struct {
	self   string
	store  Store
	time   clock.Clock
	logger hclog.Logger
	learn  func(Key, Origin) // is given what was read

	mu        sync.Mutex
	waiting   map[archived]struct{}
	written   map[archived]time.Time
	number    uint64        // of the last row written
	known     bool          // number is known: the rows of earlier incarnations were read
	reading   chan struct{} // closed when the read under way has ended; nil: none is
	read      time.Time     // when the last read began; zero: none did
	failures  int           // of writes, in a row
	pauseTill time.Time     // no writes before
	stored    int           // streams written
	dropped   int           // streams not written for lack of space
}

// add has a stream written with the next row, unless it was lately.
func (a *archive) add(key Key, o Origin) {
	if a == nil {
		return
	}
	now := a.time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	stream := archived{key, o}
	if at, written := a.written[stream]; written && now.Sub(at) < rewriteAfter {
		return
	}
	if len(a.waiting) >= maxWaiting {
		a.dropped++
		return
	}
	if a.waiting == nil {
		a.waiting = make(map[archived]struct{})
	}
	a.waiting[stream] = struct{}{}
}

// run writes what waits, at intervals, until ctx ends.
func (a *archive) run(ctx context.Context, interval func() time.Duration) {
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			a.flush(ctx)
			timer.Reset(interval())
		}
	}
}

// flush writes a row of what waits.
func (a *archive) flush(ctx context.Context) {
	if !a.due() {
		return
	}
	if !a.knowsNumber() {
		a.refresh(ctx)
	}
	if !a.knowsNumber() {
		return
	}
	batch, number := a.take()
	key, record := rowKey(a.self, number), Record{Number: number, Groups: groupsOf(batch)}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	began := a.time.Now()
	a.noteWrite(batch, began, a.store.Write(ctx, key, record))
}

// due reports whether something is to be written now.
func (a *archive) due() bool {
	now := a.time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for stream, at := range a.written {
		if now.Sub(at) >= rewriteAfter {
			delete(a.written, stream)
		}
	}
	return len(a.waiting) > 0 && !now.Before(a.pauseTill)
}

// knowsNumber reports whether the rows of earlier incarnations were read. A row may be written only then, or it
// could take the place of one that is still needed.
func (a *archive) knowsNumber() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known
}

// take removes and returns streams for one row, and its number.
func (a *archive) take() ([]archived, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := make([]archived, 0, min(len(a.waiting), maxRowStreams))
	for stream := range a.waiting {
		if len(batch) == maxRowStreams {
			break
		}
		batch = append(batch, stream)
		delete(a.waiting, stream)
	}
	a.number++
	return batch, a.number
}

// noteWrite records the outcome of a write that began at the given time.
func (a *archive) noteWrite(batch []archived, began time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		for _, stream := range batch {
			a.waiting[stream] = struct{}{}
		}
		a.failures++
		pause := min(archiveInterval<<min(a.failures, maxPauseDoublings), maxWritePause)
		a.pauseTill = a.time.Now().Add(pause)
		a.logger.Warn("origins of streams not written", "streams", len(batch), "failures", a.failures, "pause_ms", pause.Milliseconds(), "error", err)
		return
	}
	a.failures = 0
	if a.written == nil {
		a.written = make(map[archived]time.Time)
	}
	for _, stream := range batch {
		a.written[stream] = began
	}
	a.stored += len(batch)
}

// maxPauseDoublings is as many doublings as lead to maxWritePause.
const maxPauseDoublings = 4

// refresh reads the archive, unless it was read within readInterval, and waits for the read under way.
func (a *archive) refresh(ctx context.Context) {
	if a == nil {
		return
	}
	now := a.time.Now()
	a.mu.Lock()
	if a.reading == nil && (a.read.IsZero() || now.Sub(a.read) >= readInterval) {
		a.reading, a.read = make(chan struct{}), now
		go a.readAll(context.WithoutCancel(ctx))
	}
	reading := a.reading
	a.mu.Unlock()
	if reading == nil {
		return
	}
	select {
	case <-reading:
	case <-ctx.Done():
	}
}

// readAll reads the archive and takes in its streams.
func (a *archive) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := a.store.Read(ctx)
	if err != nil {
		a.logger.Warn("origins of streams not read", "error", err)
	}
	streams, last := a.takeIn(rows)
	a.mu.Lock()
	if err == nil {
		a.number, a.known = max(a.number, last), true
	}
	close(a.reading)
	a.reading = nil
	a.mu.Unlock()
	if err != nil {
		return
	}
	a.logger.Info("origins of streams read", "rows", len(rows), "streams", streams, "took_ms", a.time.Since(a.readBegan()).Milliseconds())
	a.removeExpired(ctx, rows)
}

func (a *archive) readBegan() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.read
}

// takeIn learns the streams of rows. It returns how many there were, and the highest number of a row of this
// node's.
func (a *archive) takeIn(rows []Row) (streams int, last uint64) {
	for _, r := range rows {
		if strings.HasPrefix(r.Key, a.self+rowSeparator) {
			last = max(last, r.Record.Number)
		}
		if r.Age > MaxLifetime {
			continue
		}
		for _, g := range r.Record.Groups {
			for key := range slices.Chunk(g.Streams, keyBytes) {
				if len(key) == keyBytes {
					a.learn(Key(binary.BigEndian.Uint64(key)), g.Origin)
					streams++
				}
			}
		}
	}
	return streams, last
}

// removeExpired removes some rows that nobody overwrites any more.
func (a *archive) removeExpired(ctx context.Context, rows []Row) {
	var expired []Row
	for _, r := range rows {
		if r.Age > 2*MaxLifetime && len(expired) < maxRemoved {
			expired = append(expired, r)
		}
	}
	if len(expired) == 0 {
		return
	}
	if err := a.store.Remove(ctx, expired); err != nil { // another node may have removed them
		a.logger.Info("expired origins of streams not removed", "rows", len(expired), "error", err)
	}
}

// rowSeparator separates the name of a node from the place of a row among its rows.
const rowSeparator = "/"

// rowKey returns the key of the row with the given number.
func rowKey(self string, number uint64) string {
	return fmt.Sprintf("%s%s%02d", self, rowSeparator, number%archiveRows)
}

// groupsOf returns the streams of a batch in the form of a record.
func groupsOf(batch []archived) []StoredGroup {
	streams := make(map[Origin][]byte)
	for _, s := range batch {
		streams[s.origin] = binary.BigEndian.AppendUint64(streams[s.origin], uint64(s.key))
	}
	groups := make([]StoredGroup, 0, len(streams))
	for o, keys := range streams {
		groups = append(groups, StoredGroup{Origin: o, Streams: keys})
	}
	return groups
}

// counts returns the streams that were written, and those that were not for lack of space.
func (a *archive) counts() (stored, dropped int) {
	if a == nil {
		return 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stored, a.dropped
}
