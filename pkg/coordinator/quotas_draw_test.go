package coordinator

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/tenant"
)

// recode encodes a message as one version of a type and decodes it as another.
func recode[To any](t *testing.T, from any) To {
	t.Helper()
	var buffer bytes.Buffer
	var to To
	if err := gob.NewEncoder(&buffer).Encode(from); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&buffer).Decode(&to); err != nil {
		t.Fatal(err)
	}
	return to
}

// TestDrawsOfOtherVersions checks that nodes exchange quota messages with builds that do not know
// routes.
func TestDrawsOfOtherVersions(t *testing.T) {
	type oldDraw struct {
		Tenant string
		Amount float64
	}
	type oldAnswer struct {
		Term    uint64
		Granted bool
		After   time.Duration
	}
	requester := &tenant.Tenant{Name: "a"}
	r := quota.Request{Route: "r", Priority: 2, Amount: 7, Mark: quota.Mark{1}, Within: 1, Returns: 2, Part: 0.5}
	if got := recode[oldDraw](t, newDraw(requester, r)); got != (oldDraw{"a", 7}) {
		t.Errorf("an older holder reads %+v", got)
	}
	if got := recode[Draw](t, oldDraw{"a", 7}); got.Tenant != "a" || got.request() != (quota.Request{Amount: 7}) {
		t.Errorf("the message of an older node is decoded as %+v", got)
	}
	if got := recode[Draw](t, newDraw(requester, r)); got.request() != r {
		t.Errorf("decoded %+v, want %+v", got.request(), r)
	}
	answer := quota.Answer{Reserved: true, After: time.Second, Room: quota.Room{Share: 1}, Sieve: quota.Sieve{Part: 0.5, Salt: 3}}
	if got := recode[oldAnswer](t, newDrawAnswer(4, answer)); got != (oldAnswer{4, false, time.Second}) {
		t.Errorf("an older node reads %+v", got)
	}
	if got := recode[DrawAnswer](t, newDrawAnswer(4, answer)); got.answer() != answer {
		t.Errorf("decoded %+v, want %+v", got.answer(), answer)
	}
	var l quota.Ledger
	one := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 1000, Tokens: true}}
	now := time.Unix(1000, 0)
	l.UpdateScarce(now, []string{"a"})
	l.Answered(now, one, r, recode[DrawAnswer](t, oldAnswer{4, false, time.Second}).answer())
	if verdict, _ := l.DecideFor(now, one, &quota.Request{Route: "r", Mark: quota.Mark{2}}); verdict != quota.Ask {
		t.Errorf("after a refusal by an older holder the node's verdict is %d, want Ask", verdict)
	}
}

// TestDrawOfWhatTheHolderDoesNotKnow checks that requests of a tenant or route which the holder's
// configuration lacks are granted.
func TestDrawOfWhatTheHolderDoesNotKnow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.withQuotas()
		holder := s.start("holder-1")
		holder.waitForLease()
		for _, d := range []Draw{
			{Tenant: "none", Amount: 1e9, Spent: []quota.Spent{{Tenant: "a", Amount: 1e9}}},
			{Tenant: "a", Route: "none", Priority: -5, Amount: 1, Part: -1, Within: -1, Returns: -1},
		} {
			if answer := holder.holder.decideDraw(time.Now(), d); !answer.Granted {
				t.Errorf("%+v: %+v", d, answer)
			}
		}
		holder.stop()
	})
}

// TestCheapRequestsOfAScarceTenant checks that cheap requests of a tenant are admitted at all nodes
// while its long prompts ask for several times its quota, also after a change of the holder.
func TestCheapRequestsOfAScarceTenant(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s, holder, members, stop := startQuotaSite(t, 5)
		scarce, other := s.table.Tenants().Named("a"), s.table.Tenants().Named("b")
		var granted []float64
		count, cheap, refused := 0, 0, 0
		flood := func(length time.Duration) {
			const step = 10 * time.Millisecond
			for began := time.Now(); time.Since(began) < length; time.Sleep(step) {
				sum := 0.0
				for n := range 8 { // 4 times the quota
					count++
					r := quota.Request{Route: "review", Priority: 1, Amount: 5, Mark: quota.Mark{byte(count), byte(count >> 8), byte(count >> 16), 1}}
					if n == 0 {
						r = quota.Request{Route: "post", Priority: 2, Amount: 0.2, Mark: quota.Mark{byte(count), byte(count >> 8), byte(count >> 16), 2}}
						cheap++
					}
					admission := members[count%len(members)].Admit(t.Context(), scarce, r)
					switch {
					case admission.Granted:
						sum += r.Amount
					case n == 0:
						refused++
					}
				}
				granted = append(granted, sum)
				if !members[count%len(members)].Admit(t.Context(), other, quota.Request{Route: "review", Amount: 5}).Granted {
					t.Fatal("a tenant at half of its quota is refused")
				}
			}
		}
		flood(12 * time.Second)
		if refused > cheap/100 {
			t.Errorf("%d of %d cheap requests were refused", refused, cheap)
		}
		if fullestWindow(granted) < 7.5*quotaRate {
			t.Errorf("%g tokens were granted within 8 s, want the quota", fullestWindow(granted))
		}
		holder.stop()
		next := s.start("holder-2")
		next.waitForLease()
		record, _ := next.lease.Current()
		for _, m := range members {
			m.Lease.Announced(record)
		}
		cheap, refused = 0, 0
		flood(8 * time.Second)
		if refused > cheap/50 {
			t.Errorf("with another holder %d of %d cheap requests were refused", refused, cheap)
		}
		if allowed := 9 * quotaRate * (1 + quotaOverage); fullestWindow(granted) > allowed {
			t.Errorf("%g tokens were granted within 8 s, at most %g are allowed", fullestWindow(granted), allowed)
		}
		stop()
		next.stop()
	})
}
