package watch

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/revision"
)

// After an outage of the store all that changed meanwhile comes with the first feed, which has half a
// second beyond its wait. Over a slow link thousands of rows take longer; each try had the same time
// and the same rows, and more, until the history was gone.

// slowLink carries few rows in the time of a feed.
type slowLink struct {
	caller
}

// mostRows is how many rows the link carries in the time of a call.
const mostRows = 100

func (s slowLink) Feed(ctx context.Context, table string, after revision.Revision, wait time.Duration) (Page, error) {
	page, err := s.caller.Feed(ctx, table, after, wait)
	if len(page.Records) > mostRows {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return page, err
}

// TestChangesThatAFeedCannotCarryAreReadInPages within the bound and a little.
func TestChangesThatAFeedCannotCarryAreReadInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemory()
		store.put("a", "1")
		members, _ := start(t, store, 3, func(h *Hub) {
			h.Tables[0].Source = slowLink{h.Tables[0].Source.(caller)}
		})
		inForce(t, members, "a", "1")
		store.mu.Lock()
		for _, m := range members {
			store.refused[m.hub.Self.Name] = true
		}
		store.mu.Unlock()
		time.Sleep(5 * time.Second)
		for i := range 3 * mostRows {
			store.put(fmt.Sprint("row-", i), "1")
		}
		store.put("a", "2")
		store.mu.Lock()
		clear(store.refused)
		store.mu.Unlock()
		if took := inForce(t, members, "a", "2"); took > 3*bound {
			t.Errorf("in force %v after the store's return", took)
		}
		stopAtEnd()
	})
}
