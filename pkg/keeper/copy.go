package keeper

import (
	"time"

	"martenwheel.dev/pkg/api"
)

// copyProgress is how far the records of one member were copied.
type copyProgress struct {
	next uint64
	done bool
}

// copyPage answers with the records after the requested position.
func (s *Store) copyPage(now time.Time, request CopyRequest) CopyReply {
	reply := CopyReply{Version: s.configuration.Version, Complete: s.complete || s.granting, Next: request.After}
	if request.Cell != s.configuration.Cell {
		return CopyReply{}
	}
	// A source of another version would not count; its records are not sent.
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

// CopyRequests returns what the store is to ask which members while it
// abstains. It is empty for a store that takes part fully.
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

// TakeCopy takes over a page that source sent in answer to the request of
// CopyRequests. A page of another version or out of turn changes nothing.
func (s *Store) TakeCopy(now time.Time, source api.NodeRef, request CopyRequest, page CopyReply) {
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
	if !s.takeRecords(now, page.Records) {
		return
	}
	progress.next = page.Next
	progress.done = page.Done
	if s.copied() >= majorityOf(len(s.configuration.Previous)) {
		s.granting = true
	}
}

// copied returns the number of members that were copied from to the end.
func (s *Store) copied() int {
	count := 0
	for _, progress := range s.copies {
		if progress.done {
			count++
		}
	}
	return count
}

// takeRecords adds what the store does not know. It is false if one does not
// fit: the store then keeps abstaining, since it may not forget one.
func (s *Store) takeRecords(now time.Time, copied []Record) bool {
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
			s.records.setAnswer(added, s.bounded(*each.Answer))
		}
	}
	return true
}

// mergeCopy keeps an answer, which tells which attempt ran. Of two attempts
// without one either may have a majority, so that the key is granted to
// neither and no release makes room.
func (s *Store) mergeCopy(known *record, copied Record) {
	switch {
	case known.answer != nil:
	case copied.Answer != nil:
		known.claim = copied.Claim
		s.records.setAnswer(known, s.bounded(*copied.Answer))
	case known.claim.Attempt != copied.Claim.Attempt:
		known.claim.Attempt = contestedAttempt
	default:
		known.round = max(known.round, copied.Round)
	}
}

// contestedAttempt is the attempt of a record that no attempt has; valid
// claims have another one.
const contestedAttempt = ""
