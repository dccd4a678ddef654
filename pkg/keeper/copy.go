package keeper

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// copyProgress is the state of copying the records of one member.
type copyProgress struct {
	next uint64 // After of the next CopyRequest
	done bool   // all records were copied
}

// copyPage returns the page of records after the requested position.
func (s *Store) copyPage(now time.Time, request CopyRequest) CopyReply {
	reply := CopyReply{Version: s.configuration.Version, Complete: s.complete || s.granting, Granting: s.granting, Next: request.After}
	if request.Cell != s.configuration.Cell {
		return CopyReply{}
	}
	// The requester ignores pages of another version, so no records are sent.
	if request.Version != s.configuration.Version && !s.ablation.noCopyBarrier {
		return reply
	}
	reply.Complete = reply.Complete || s.ablation.noCopyBarrier
	page, done := s.records.page(request.After, copyPageRecords, copyPageBytes)
	for _, each := range page {
		reply.Records = append(reply.Records, Record{
			Claim:     each.claim,
			Round:     each.round,
			Answer:    each.answer,
			Age:       now.Sub(each.grantedAt),
			Remaining: each.expiresAt.Sub(now),
		})
		reply.Next = each.sequence
	}
	reply.Done = done
	return reply
}

// CopyRequests returns the next request to each member that the store has to copy
// records from while it abstains. It is empty for a store that grants claims.
func (s *Store) CopyRequests(now time.Time) map[api.NodeRef]CopyRequest {
	s.tick(now)
	if s.granting || !s.member() {
		return nil
	}
	requests := map[api.NodeRef]CopyRequest{}
	for _, source := range s.configuration.Previous {
		progress := s.copies[memberOf(source)]
		if progress == nil {
			progress = &copyProgress{}
			s.copies[memberOf(source)] = progress
		}
		if !progress.done {
			requests[source] = CopyRequest{
				Cell:    s.configuration.Cell,
				Version: s.configuration.Version,
				After:   progress.next,
			}
		}
	}
	return requests
}

// AddCopy adds a page that source sent in answer to a request of CopyRequests. A
// page of another version, or one that is not the next page, changes nothing.
func (s *Store) AddCopy(now time.Time, source api.NodeRef, request CopyRequest, page CopyReply) {
	s.tick(now)
	progress := s.copies[memberOf(source)]
	stale := progress == nil || progress.done ||
		request.Version != s.configuration.Version || request.After != progress.next
	if s.granting || stale {
		return
	}
	otherVersion := page.Version != s.configuration.Version && !s.ablation.noCopyBarrier
	if otherVersion || !page.Complete {
		return
	}
	if !s.mergeRecords(now, page.Records) {
		return
	}
	progress.next = page.Next
	progress.done = page.Done
	if s.copied() >= majorityOf(len(s.configuration.Previous)) {
		s.granting = true
	}
}

// copied returns the number of members whose records were copied completely.
func (s *Store) copied() int {
	count := 0
	for _, progress := range s.copies {
		if progress.done {
			count++
		}
	}
	return count
}

// mergeRecords merges copied records into the store. It returns false if one does
// not fit: the store then keeps abstaining, since it must not miss any.
func (s *Store) mergeRecords(now time.Time, copied []Record) bool {
	for _, each := range copied {
		known := s.records.byKey[each.Claim.Key]
		if known != nil {
			s.mergeCopy(known, each)
			s.records.extend(known, now.Add(each.Remaining))
			continue
		}
		if s.Len() >= s.limits.Records {
			return false
		}
		added := &record{
			claim:     each.Claim,
			round:     each.Round,
			grantedAt: now.Add(-each.Age),
			expiresAt: now.Add(each.Remaining),
		}
		s.records.add(added)
		if each.Answer != nil {
			s.records.setAnswer(added, s.limitAnswer(*each.Answer))
		}
	}
	return true
}

// mergeCopy merges a copied record into the known record of the same key. An
// answer wins, since it shows which attempt ran. Of two attempts without an
// answer either may have a majority, so the key is granted to neither, and no
// release frees it.
func (s *Store) mergeCopy(known *record, copied Record) {
	switch {
	case known.answer != nil:
	case copied.Answer != nil:
		known.claim = copied.Claim
		s.records.setAnswer(known, s.limitAnswer(*copied.Answer))
	case known.claim.Attempt != copied.Claim.Attempt:
		known.claim.Attempt = contestedAttempt
	default:
		known.round = max(known.round, copied.Round)
	}
}

// contestedAttempt marks a record that belongs to no attempt. Valid claims have a
// nonempty attempt, so none matches it.
const contestedAttempt = ""
