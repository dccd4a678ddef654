package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/revision"
)

// A node that is out of step relies on what a holder told for as long as that lives, while servers of another version have joined and
// streams have begun there. What it is told is therefore confirmed after a stream's caller has come back: nothing older can say
// where the stream did not begin.

// ReadVersions reads from the platform's store which software versions of servers serve each service now, or at least all of those that
// were not there at a revision of the list of servers; zero: unknown.
type ReadVersions func(ctx context.Context, since revision.Revision) (map[string][]string, error)

// soleReadTime limits a read. Callers wait for it.
const soleReadTime = 400 * time.Millisecond

var (
	errSoleUnknown  = errors.New("coordinator: no version is known to serve the service alone")
	errOtherVersion = errors.New("coordinator: another version serves the service by now")
)

// soleRead is a read of the versions that serve now, for all that began to wait before it.
type soleRead struct {
	done     chan struct{} // closed when the other fields are set
	known    *knownSole    // what a holder had told before
	versions map[string][]string
	err      error
}

// soleReads shares reads among those that wait at the same time. A read that has begun shows nothing of what happens later, so those that
// come meanwhile share the next one.
type soleReads struct {
	mu            sync.Mutex
	running, next *soleRead
}

// join returns a read that begins after the call, made by do in a goroutine of its own.
func (r *soleReads) join(do func(*soleRead)) *soleRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = &soleRead{done: make(chan struct{})}
		go r.run(r.running, do)
		return r.running
	}
	if r.next == nil {
		r.next = &soleRead{done: make(chan struct{})}
	}
	return r.next
}

// run makes a read, and the next one if somebody waits for it.
func (r *soleReads) run(read *soleRead, do func(*soleRead)) {
	do(read)
	close(read.done)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running, r.next = r.next, nil
	if r.running != nil {
		go r.run(r.running, do)
	}
}

// ConfirmSole returns the software version that serves a service alone, as it was told by a holder and holds at a moment after the call by
// the platform's store.
func (m *Member) ConfirmSole(ctx context.Context, service string) (lineage.SoleVersion, error) {
	read := m.soleReads.join(m.readSole)
	select {
	case <-read.done:
	case <-ctx.Done():
		return lineage.SoleVersion{}, context.Cause(ctx)
	}
	if read.err != nil {
		return lineage.SoleVersion{}, read.err
	}
	sole := read.known.of(service, m.Time.Now())
	if sole.Service == "" {
		return lineage.SoleVersion{}, errSoleUnknown
	}
	if slices.ContainsFunc(read.versions[service], func(v string) bool { return v != sole.Software }) {
		return lineage.SoleVersion{}, errors.Wrapf(errOtherVersion, "%q beside %q", read.versions[service], sole.Software)
	}
	return sole, nil
}

// readSole makes a read.
func (m *Member) readSole(read *soleRead) {
	read.known = m.sole.Load()
	if read.known == nil {
		read.err = errSoleUnknown
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), soleReadTime)
	defer cancel()
	read.versions, read.err = m.ReadVersions(ctx, read.known.asOf)
}
