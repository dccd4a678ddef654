package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"martenwheel.dev/pkg/backend"
	"martenwheel.dev/pkg/memory"
	"martenwheel.dev/pkg/quarantine"
	"martenwheel.dev/pkg/route"
)

// run is the request at one server: sent there, and its answer as it arrives. A goroutine of its own sends the
// request and reads the answer, so that the call can wait for two runs at once.
type run struct {
	member   *backend.Member
	try      *try             // its entry in the record
	subjects []quarantine.Run // what is to blame if the server crashes, as of the moment at which it was sent
	counted  bool             // it is part of the call's sends
	ran      bool             // it is part of the call's runs
	unproven []int            // see progress.unprovenRounds
	fromCopy bool             // it continues from a copy
	backup   *backend.Member  // receives copies of it; nil: none
	active   *activeStream    // the stream that can be handed over; nil: it can't, or has not begun

	ctx     context.Context
	cancel  context.CancelCauseFunc
	sent    atomic.Bool   // part of the request may have reached the server
	updates chan update   // closed when the goroutine ends
	dropped chan struct{} // closed when nobody takes updates any more

	answer *backend.Answer // set when its head was taken
	held   *memory.Buffer  // the content of an answer that is held until it is whole; nil: none is
	over   bool            // the last update was taken

	// Updates of a hedge that were taken before it became the run of the request; nil: none.
	head, content *update
}

// update is the next part of a run: first the head of the answer, or why there is none, then its content.
type update struct {
	answer *backend.Answer // the first update of an answer
	data   []byte          // valid until the next update is taken
	err    error           // there are no further updates; io.EOF: the answer is complete
}

// newRun returns a run that has not been started.
func newRun(ctx context.Context, m *backend.Member, t *try) *run {
	r := &run{member: m, try: t, updates: make(chan update), dropped: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r
}

// newRun returns a run of the request that has not been started.
func (c *call) newRun(ctx context.Context, m *backend.Member, started time.Time) *run {
	r := newRun(ctx, m, c.record.try(m, started))
	r.unproven = c.unprovenRounds
	return r
}

// start sends the message if check, which is called right before, returns no error.
func (r *run) start(message *backend.Message, kind route.Kind, budget *memory.Budget, check func() error) {
	go func() {
		defer close(r.updates)
		a, err := r.member.Send(r.ctx, message, func() error {
			err := check()
			r.sent.Store(err == nil)
			return err
		})
		switch {
		case !r.pass(update{answer: a, err: err}):
			if a != nil {
				a.Close()
			}
		case err != nil:
		case kind == route.Stream && a.Status == http.StatusOK:
			r.readPieces(a)
		default:
			r.readWhole(a, budget)
		}
	}()
}

// pass hands an update over. It returns false if nobody takes it.
func (r *run) pass(u update) bool {
	select {
	case r.updates <- u:
		return true
	case <-r.dropped:
		return false
	}
}

// readPieces reads an answer as it arrives. There are two buffers since one is in use until the next update is
// taken.
func (r *run) readPieces(a *backend.Answer) {
	var buffers [2][streamReadBytes]byte
	for i := 0; ; i = 1 - i {
		n, err := a.Read(buffers[i][:])
		if !r.pass(update{data: buffers[i][:n], err: err}) || err != nil {
			return
		}
	}
}

// readWhole reads an answer to its end within a budget. If that has no room for it, the answer is handed over as it
// arrives, beginning with what was read.
func (r *run) readWhole(a *backend.Answer, budget *memory.Budget) {
	held := memory.NewGroupBuffer(budget, r.member.Service)
	err := held.Fill(a, a.Length, maxAnswerBytes)
	r.held = held // before the update is passed, after which it belongs to whoever takes that
	switch err {
	case nil:
		r.pass(update{data: held.Bytes(), err: io.EOF})
	case memory.ErrUsedUp:
		if r.pass(update{data: held.Bytes()}) {
			r.readPieces(a)
		}
	case memory.ErrTooLong:
		r.pass(update{err: errAnswerTooLong})
	default:
		r.pass(update{err: err})
	}
}

// releaseHeld frees what is held of the answer.
func (r *run) releaseHeld() {
	if r.held != nil {
		r.held.Release()
	}
}

// replay returns the next update that was taken while the run was a hedge.
func (r *run) replay() (update, bool) {
	for _, early := range []**update{&r.head, &r.content} {
		if *early != nil {
			u := **early
			*early = nil
			return u, true
		}
	}
	return update{}, false
}

// take records that an update was taken.
func (r *run) take(u update) update {
	if u.answer != nil {
		r.answer = u.answer
	}
	if u.err != nil && r.answer == nil {
		r.try.received = backend.ReceivedBytes(u.err)
	}
	r.over = r.over || u.err != nil
	return u
}

// close ends the run, wherever it is, and frees its connection. cause is why, if it is not over.
func (r *run) close(cause error) {
	if !r.over {
		r.cancel(cause)
	}
	close(r.dropped)
	for u := range r.updates { // until the goroutine has ended
		r.take(u)
	}
	r.releaseHeld()
	if r.answer != nil {
		r.try.received = r.answer.Received()
		r.answer.Close()
	}
	r.cancel(nil)
}
