package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/lineage"
	"martenwheel.dev/pkg/revision"
)

// Guards against a version that is confirmed by a read of before the call, by none, or beside another version.
func TestORDERVersionIsConfirmedByAnEarlierRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := map[string][]string{"s": {"v1"}}
		var failure error
		reads := 0
		m := &Member{ReadVersions: func(_ context.Context, since revision.Revision) (map[string][]string, error) {
			if since != 7 {
				t.Errorf("changes since %v are read, want 7", since)
			}
			reads++
			answer, err := versions, failure
			time.Sleep(10 * time.Millisecond) // the answer is on its way
			return answer, err
		}}
		confirm := func() (string, error) {
			sole, err := m.ConfirmSole(t.Context(), "s")
			return sole.Software, err
		}
		if _, err := confirm(); !errors.Is(err, errSoleUnknown) || reads > 0 {
			t.Errorf("before a holder told anything: %v, %d reads", err, reads)
		}
		m.sole.Store(&knownSole{m.Time.Now(), 7, []lineage.SoleVersion{{Service: "s", Software: "v1"}}})
		type result struct {
			software string
			err      error
		}
		results := make(chan result, 4)
		ask := func() {
			software, err := confirm()
			results <- result{software, err}
		}
		go ask()
		time.Sleep(time.Millisecond)
		versions = map[string][]string{"s": {"v1", "v2"}} // after the first read
		for range 3 {
			go ask()
		}
		if first := <-results; first.software != "v1" || first.err != nil {
			t.Errorf("the first read: %+v", first)
		}
		for range 3 {
			if later := <-results; !errors.Is(later.err, errOtherVersion) {
				t.Errorf("a call during the first read: %+v", later)
			}
		}
		if reads != 2 {
			t.Errorf("%d reads for four calls, want 2", reads)
		}
		versions, failure = nil, errors.New("a test's fault")
		if _, err := confirm(); err == nil {
			t.Error("a read that failed confirms")
		}
		failure = nil
		if software, err := confirm(); software != "v1" || err != nil {
			t.Errorf("nothing changed: %q, %v", software, err)
		}
		time.Sleep(soleLifetime + time.Millisecond)
		if _, err := confirm(); !errors.Is(err, errSoleUnknown) {
			t.Errorf("what was told long ago: %v", err)
		}
	})
}
