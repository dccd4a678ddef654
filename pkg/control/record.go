package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/control/quorum"
	"martenwheel.dev/pkg/platform"
)

// recordPrefix begins the keys of the cells' records in the table service.
const recordPrefix = "cells/"

// cellRecord is what the table service keeps of a cell. It is written when a
// group is formed, before a server is used for the first time, and, with no
// haste, when the members change. Its epoch and term never go back.
type cellRecord struct {
	Epoch   uint64          `json:"epoch"`
	Term    uint64          `json:"term"`
	Founder api.NodeRef     `json:"founder"` // of the epoch
	Members []api.NodeRef   `json:"members"`
	Servers []quorum.Server `json:"servers"` // that may hold models of the cell
	Token   string          `json:"token"`   // of the last write
}

// recordCalls is the one read or write of the record that is under way. A
// write whose answer is lost is settled by reading the record. There is no
// time-out here: each call has exactly one result, and a late result taken for
// that of a later call would seem fresher than it is.
type recordCalls struct {
	reading bool
	token   string // of the write under way, else empty
	written *cellRecord
	since   time.Time

	version uint64      // of the record last read or written
	known   *cellRecord // its content; nil if there is none
	counter uint64
}

// busy tells whether a call is under way.
func (r *recordCalls) busy() bool {
	return r.reading || r.token != ""
}

func (c *cellControl) recordKey() string {
	return recordPrefix + string(c.name)
}

func (c *cellControl) readRecord() {
	if c.calls.busy() {
		return
	}
	c.calls.reading = true
	c.calls.since = c.machine.now
	c.machine.emit(ReadRecord{Key: c.recordKey()})
}

// writeRecord writes the record if it is still the one last read.
func (c *cellControl) writeRecord(record cellRecord) {
	if c.calls.busy() {
		return
	}
	self := c.machine.config.Self
	c.calls.counter++
	record.Token = fmt.Sprintf("%s/%s/%d/%d", c.name, self.ID, self.Incarnation, c.calls.counter)
	value, err := json.Marshal(record)
	if err != nil {
		c.Log("error", "cell record not encoded", "error", err.Error())
		return
	}
	c.calls.token = record.Token
	c.calls.written = &record
	c.calls.since = c.machine.now
	c.machine.emit(CommitRecord{Transaction: platform.Transaction{
		Token:      record.Token,
		Conditions: []platform.Condition{{Key: c.recordKey(), Version: c.calls.version}},
		Writes:     []platform.Write{{Key: c.recordKey(), Value: value}},
	}})
}

// takeRecord takes over the answer to a read.
func (c *cellControl) takeRecord(record platform.Record, err error) {
	if !c.calls.reading {
		return
	}
	c.calls.reading = false
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.calls.version, c.calls.known = 0, nil
		err = nil
	case err == nil:
		err = c.decodeRecord(record)
	}
	c.recordSettled(err)
}

func (c *cellControl) decodeRecord(record platform.Record) error {
	var decoded cellRecord
	if err := json.Unmarshal(record.Value, &decoded); err != nil {
		c.Log("error", "cell record is not readable", "key", record.Key, "error", err.Error())
		return errors.Wrapf(err, "record %s", record.Key)
	}
	c.calls.version, c.calls.known = record.Version, &decoded
	return nil
}

// takeCommit takes over the answer to a write. All answers but success lead to
// reading the record: what it holds then decides.
func (c *cellControl) takeCommit(err error) {
	written := c.calls.written
	c.calls.token, c.calls.written = "", nil
	if err != nil {
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
			c.readRecord()
			return
		}
		c.recordSettled(err)
		return
	}
	c.calls.version++
	c.calls.known = written
	c.recordSettled(nil)
}

// recordSettled passes the newest known record, or the failure to get it, to
// the part that needs it.
func (c *cellControl) recordSettled(err error) {
	if known := c.calls.known; err == nil && known != nil {
		c.group.Supersede(known.Epoch)
	}
	c.formationRecord(err)
	c.keeperRecord(err)
}

// recordKeeper keeps the record of a cell that this node owns up to date.
type recordKeeper struct {
	read      bool // since the ownership began
	writtenAt time.Time
	retryAt   time.Time
	failures  int
}

// reset makes a new owner begin with a read of the record.
func (k *recordKeeper) reset(now time.Time) {
	*k = recordKeeper{retryAt: now}
}

// tickRecord reads the record once and writes it when it must change.
func (c *cellControl) tickRecord() {
	now := c.machine.now
	if c.owner == nil || c.calls.busy() || now.Before(c.record.retryAt) {
		return
	}
	if !c.record.read {
		c.readRecord()
		return
	}
	wanted, differs := c.wantedRecord()
	if differs || now.Sub(c.record.writtenAt) >= c.machine.timing.RecordRefresh {
		c.record.writtenAt = now
		c.writeRecord(wanted)
		return
	}
	if c.owner.Unverified() {
		c.readRecord()
	}
}

// wantedRecord is what the record should be. It leaves a server out only after
// the group has committed that it is gone, and keeps one whose admission is not
// committed yet, so that whatever an owner of the epoch may use is always in the
// record.
func (c *cellControl) wantedRecord() (cellRecord, bool) {
	state := c.group.Committed()
	record := cellRecord{Epoch: quorum.Epoch(c.owner.Term()), Term: c.owner.Term(), Members: state.Members}
	known := cellRecord{}
	if c.calls.known != nil {
		known = *c.calls.known
	}
	record.Founder = known.Founder
	named := make(map[api.ServerID]bool)
	for _, group := range [][]quorum.Server{state.Data.Servers, c.owner.Servers()} {
		for _, server := range group {
			if !named[server.ID] {
				named[server.ID] = true
				record.Servers = append(record.Servers, server)
			}
		}
	}
	return record, record.differs(known)
}

// differs tells whether the record must be written again.
func (r cellRecord) differs(known cellRecord) bool {
	if r.Epoch != known.Epoch || r.Term != known.Term {
		return true
	}
	if len(r.Members) != len(known.Members) || len(r.Servers) != len(known.Servers) {
		return true
	}
	for _, member := range r.Members {
		if !quorum.Contains(known.Members, member) {
			return true
		}
	}
	named := make(map[api.ServerID]bool)
	for _, server := range known.Servers {
		named[server.ID] = true
	}
	for _, server := range r.Servers {
		if !named[server.ID] {
			return true
		}
	}
	return false
}

// keeperRecord goes on after a call of the owner's was settled.
func (c *cellControl) keeperRecord(err error) {
	if c.owner == nil {
		return
	}
	now := c.machine.now
	if err != nil {
		pause := min(c.machine.timing.RecordRetry<<min(c.record.failures, 10), c.machine.timing.RecordRetryMax)
		c.record.failures++
		c.record.retryAt = now.Add(pause/2 + c.machine.jitter(pause/2))
		return
	}
	c.record.failures = 0
	c.record.read = true
	known := c.calls.known
	if known == nil {
		return
	}
	if known.Term > c.owner.Term() {
		c.group.NoticeTerm(now, known.Term)
		return
	}
	if known.Term == c.owner.Term() {
		c.owner.Recorded(now, known.Servers)
	}
	if known.Epoch == quorum.Epoch(c.owner.Term()) {
		c.owner.Verified(c.calls.since)
	}
}
