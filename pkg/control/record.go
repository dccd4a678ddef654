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

// recordPrefix is the key prefix of cell records in the table service.
const recordPrefix = "cells/"

// cellRecord is a cell's record in the table service. It is written when a group
// is formed, before a server is used for the first time and, without urgency,
// when the members change. Epoch and Term never decrease.
type cellRecord struct {
	// Epoch and Term are those of the owner that wrote the record. The epoch
	// grows by one with each newly formed group.
	Epoch   uint64          `json:"epoch"`
	Term    uint64          `json:"term"`
	Founder api.NodeRef     `json:"founder"` // node that founded the epoch
	Members []api.NodeRef   `json:"members"` // members of the cell's group
	Servers []quorum.Server `json:"servers"` // servers that may hold models of the cell
	Token   string          `json:"token"`   // unique token of the last write
}

// recordCalls tracks the single pending read or write of the record. A write with
// unknown outcome is resolved by reading the record. There is no timeout here:
// each call has exactly one result, and after a timeout a late result could be
// taken for that of a later call and seem fresher than it is.
type recordCalls struct {
	reading bool
	token   string      // token of the pending write, or empty
	written *cellRecord // content of the pending write
	since   time.Time   // when the pending or last call began

	version uint64      // version of the record last read or written
	known   *cellRecord // content of that version; nil if there is no record
	counter uint64      // number of writes so far, which makes tokens unique
}

// busy reports whether a call is pending.
func (r *recordCalls) busy() bool {
	return r.reading || r.token != ""
}

func (c *cellControl) recordKey() string {
	return recordPrefix + string(c.name)
}

// readRecord starts a read of the cell's record unless a call is pending.
func (c *cellControl) readRecord() {
	if c.calls.busy() {
		return
	}
	c.calls.reading = true
	c.calls.since = c.machine.now
	c.machine.emit(ReadRecord{Key: c.recordKey()})
}

// writeRecord starts a write that succeeds only if the record is still the one
// last read.
func (c *cellControl) writeRecord(record cellRecord) {
	if c.calls.busy() {
		return
	}
	self := c.machine.config.Self
	c.calls.counter++
	record.Token = fmt.Sprintf("%s/%s/%d/%d", c.name, self.ID, self.Incarnation, c.calls.counter)
	value, err := json.Marshal(record)
	if err != nil {
		c.Log("error", "cell record could not be encoded", "error", err.Error())
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

// handleRecordRead handles the result of a read.
func (c *cellControl) handleRecordRead(record platform.Record, err error) {
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
	c.recordCallDone(err)
}

func (c *cellControl) decodeRecord(record platform.Record) error {
	var decoded cellRecord
	if err := json.Unmarshal(record.Value, &decoded); err != nil {
		c.Log("error", "cell record could not be decoded", "key", record.Key, "error", err.Error())
		return errors.Wrapf(err, "record %s", record.Key)
	}
	c.calls.version, c.calls.known = record.Version, &decoded
	return nil
}

// handleRecordCommitted handles the result of a write. After a conflict or an
// unknown outcome the record is read again, and its content decides.
func (c *cellControl) handleRecordCommitted(err error) {
	written := c.calls.written
	c.calls.token, c.calls.written = "", nil
	if err != nil {
		if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) {
			c.readRecord()
			return
		}
		c.recordCallDone(err)
		return
	}
	c.calls.version++
	c.calls.known = written
	c.recordCallDone(nil)
}

// recordCallDone passes the newest record, or the error, to the formation and to
// the record keeper.
func (c *cellControl) recordCallDone(err error) {
	if known := c.calls.known; err == nil && known != nil {
		c.group.Supersede(known.Epoch)
	}
	c.continueFormation(err)
	c.continueRecordKeeping(err)
}

// recordKeeper keeps the record of a cell that this node owns up to date.
type recordKeeper struct {
	read      bool      // the record was read in this ownership
	writtenAt time.Time // when the last write was started
	retryAt   time.Time // earliest time of the next call
	failures  int       // failed calls in a row
}

// reset makes a new owner start with a read of the record.
func (k *recordKeeper) reset(now time.Time) {
	*k = recordKeeper{retryAt: now}
}

// tickRecord reads the record once per ownership and writes it when it is
// outdated or due for a refresh. It reads it again when an engine instance must
// be verified.
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

// wantedRecord returns the intended record and whether it differs from the known
// one. A server is left out only after the group has committed its removal, and a
// server whose admission is not committed yet is included. The record thus always
// lists every server that an owner of the epoch may use.
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

// differs reports whether the record must be rewritten.
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

// continueRecordKeeping proceeds after one of the owner's calls, or schedules a
// retry.
func (c *cellControl) continueRecordKeeping(err error) {
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
