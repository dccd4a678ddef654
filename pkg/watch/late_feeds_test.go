package watch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/revision"
)

// After an outage of the store the first feed returns all changes made meanwhile, and has AnswerTime for its
// answer. Over a slow link thousands of rows take longer. If the feed were just repeated, each try would have
// the same time for at least as many rows, until the history is gone.

// slowLink is a connection that carries only maxRows in the time of a feed.
type slowLink struct {
	storeClient
}

// maxRows is the number of rows that the link carries in the time of a call.
const maxRows = 100

func (s slowLink) Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) (Page, error) {
	page, err := s.storeClient.Feed(ctx, table, after, wait)
	if len(page.Records) > maxRows {
		<-ctx.Done()
		return Page{}, ErrIncomplete
	}
	return page, err
}

// TestChangesThatAFeedCannotCarryAreReadInPages checks that changes that are too many for a feed still
// arrive, soon after the bound.
func TestChangesThatAFeedCannotCarryAreReadInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a", "1")
		members, _ := start(t, store, 3, func(h *Hub) {
			h.Tables[0].Source = slowLink{h.Tables[0].Source.(storeClient)}
		})
		awaitValue(t, members, "a", "1")
		store.mu.Lock()
		for _, m := range members {
			store.refused[m.hub.Self.Name] = true
		}
		store.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i := range 3 * maxRows {
			store.put(fmt.Sprint("row-", i), "1")
		}
		store.put("a", "2")
		store.mu.Lock()
		clear(store.refused)
		store.mu.Unlock()
		if took := awaitValue(t, members, "a", "2"); took > 3*bound {
			t.Errorf("the change arrived %v after the store answered again", took)
		}
		stopSite()
	})
}
