package coordinator

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"martenwheel.dev/pkg/quota"
	"martenwheel.dev/pkg/tenant"
)

// recode sends a message from one version of a type to another.
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

// TestDrawsOfOtherVersions: nodes that know no routes read what they know, and are read.
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
	of := &tenant.Tenant{Name: "a"}
	r := quota.Request{Route: "r", Priority: 2, Amount: 7, Mark: quota.Mark{1}, Within: 1, Returns: 2, Part: 0.5}
	if got := recode[oldDraw](t, newDraw(of, r)); got != (oldDraw{"a", 7}) {
		t.Errorf("an older holder reads %+v", got)
	}
	if got := recode[Draw](t, oldDraw{"a", 7}); got.Tenant != "a" || got.request() != (quota.Request{Amount: 7}) {
		t.Errorf("of an older node %+v is read", got)
	}
	if got := recode[Draw](t, newDraw(of, r)); got.request() != r {
		t.Errorf("%+v is read, want %+v", got.request(), r)
	}
	answer := quota.Answer{Reserved: true, After: time.Second, Room: quota.Room{Share: 1}, Sieve: quota.Sieve{Part: 0.5, Salt: 3}}
	if got := recode[oldAnswer](t, newDrawAnswer(4, answer)); got != (oldAnswer{4, false, time.Second}) {
		t.Errorf("an older node reads %+v", got)
	}
	if got := recode[DrawAnswer](t, newDrawAnswer(4, answer)); got.answer() != answer {
		t.Errorf("%+v is read, want %+v", got.answer(), answer)
	}
	var l quota.Ledger
	one := &tenant.Tenant{Name: "a", Quota: tenant.Quota{PerSecond: 1000, Tokens: true}}
	now := time.Unix(1000, 0)
	l.UpdateScarce(now, []string{"a"})
	l.Answered(now, one, r, recode[DrawAnswer](t, oldAnswer{4, false, time.Second}).answer())
	if verdict, _ := l.DecideFor(now, one, &quota.Request{Route: "r", Mark: quota.Mark{2}}); verdict != quota.Ask {
		t.Errorf("after a refusal by an older holder a node decides %d by itself", verdict)
	}
}

// TestDrawOfWhatTheHolderDoesNotKnow: a tenant that its configuration lacks is let in, and a
// route is as good as any.
func TestDrawOfWhatTheHolderDoesNotKnow(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s := newSite(t, []string{"m0"})
		s.withQuotas()
		holder := s.start("holder-1")
		holder.hold()
		for _, d := range []Draw{
			{Tenant: "none", Amount: 1e9, Spent: []quota.Spent{{Tenant: "a", Amount: 1e9}}},
			{Tenant: "a", Route: "none", Priority: -5, Amount: 1, Part: -1, Within: -1, Returns: -1},
		} {
			if answer := holder.holder.draw(time.Now(), d); !answer.Granted {
				t.Errorf("%+v: %+v", d, answer)
			}
		}
		holder.stop()
	})
}

// TestCheapRequestsOfAScarceTenant: while long prompts take several times the tenant's quota,
// its cheap requests are let in at all nodes, also when another node becomes the holder.
func TestCheapRequestsOfAScarceTenant(t *testing.T) {
	bubble(t, func(t *testing.T) {
		s, holder, members, end := quotaSite(t, 5)
		of, other := s.table.Tenants().Named("a"), s.table.Tenants().Named("b")
		var in []float64
		turn, cheap, refused := 0, 0, 0
		flood := func(length time.Duration) {
			const step = 10 * time.Millisecond
			for began := time.Now(); time.Since(began) < length; time.Sleep(step) {
				sum := 0.0
				for n := range 8 { // 4 times the quota
					turn++
					r := quota.Request{Route: "review", Priority: 1, Amount: 5, Mark: quota.Mark{byte(turn), byte(turn >> 8), byte(turn >> 16), 1}}
					if n == 0 {
						r = quota.Request{Route: "post", Priority: 2, Amount: 0.2, Mark: quota.Mark{byte(turn), byte(turn >> 8), byte(turn >> 16), 2}}
						cheap++
					}
					admission := members[turn%len(members)].Admit(t.Context(), of, r)
					switch {
					case admission.Granted:
						sum += r.Amount
					case n == 0:
						refused++
					}
				}
				in = append(in, sum)
				if !members[turn%len(members)].Admit(t.Context(), other, quota.Request{Route: "review", Amount: 5}).Granted {
					t.Fatal("a tenant at half of its quota is refused")
				}
			}
		}
		flood(12 * time.Second)
		if refused > cheap/100 {
			t.Errorf("%d of %d cheap requests were refused", refused, cheap)
		}
		if most(in) < 7.5*quotaRate {
			t.Errorf("%g were let in within 8 s, want the quota", most(in))
		}
		holder.stop()
		next := s.start("holder-2")
		next.hold()
		record, _ := next.lease.Current()
		for _, m := range members {
			m.Lease.Announced(record)
		}
		cheap, refused = 0, 0
		flood(8 * time.Second)
		if refused > cheap/50 {
			t.Errorf("with another holder %d of %d cheap requests were refused", refused, cheap)
		}
		if allowed := 9 * quotaRate * (1 + quotaOverage); most(in) > allowed {
			t.Errorf("%g were let in within 8 s, at most %g may be", most(in), allowed)
		}
		end()
		next.stop()
	})
}
