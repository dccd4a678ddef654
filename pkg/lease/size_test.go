package lease

import (
	"fmt"
	"testing"
	"time"

	"martenwheel.dev/pkg/quarantine"
)

// manySuspicions is as much evidence as nodes may keep in the record, the gravest first.
func manySuspicions() []quarantine.Aged {
	const requests, runs = 64, 8
	server := func(i int) string { return fmt.Sprintf("a-server-of-the-site-%02d~m2k3j4h5", i) }
	var list []quarantine.Aged
	for i := range requests {
		e := quarantine.Evidence{Request: quarantine.FingerprintOf("POST", "h", fmt.Sprint("/", i), nil), Service: "a-service"}
		for r := range runs {
			e.Ends = append(e.Ends, quarantine.End{Server: server(r), Round: r + 1})
			e.Doubts = append(e.Doubts, quarantine.Doubt{Server: server(r), Round: runs + r, Left: quarantine.Lifetime, Again: true, Lasting: true})
		}
		list = append(list, quarantine.Aged{Evidence: e})
	}
	return list
}

// Guards against a lease that is lost because the evidence in its record is too large for a row of the store.
func TestEvidenceMakesTheRecordTooLarge(t *testing.T) {
	const rowLimit = 64 << 10
	for name, intents := range map[string]int{"no orders": 0, "many orders": maxIntents} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, m *fakeStore) {
				m.rowLimit = rowLimit
				var known []quarantine.Aged
				a, stop := runLease(t, &Lease{Store: m, Self: "a", Address: "a", Quarantine: func([]quarantine.Aged) []quarantine.Aged { return known }})
				defer stop()
				for !held(a) {
					time.Sleep(Renewal)
				}
				orders := make([]Intent, intents)
				for i := range orders {
					orders[i] = Intent{Server: "a-server-of-the-site-00~m2k3j4h5", Load: true, Need: "a-model/adapter", After: uint64(i)}
				}
				if _, err := a.Commit(t.Context(), orders); err != nil {
					t.Fatal(err)
				}
				known = manySuspicions()
				for began := time.Now(); time.Since(began) < 3*Expiry; time.Sleep(Renewal) {
					if !held(a) {
						t.Fatalf("the lease is lost after %v", time.Since(began))
					}
				}
				got := m.snapshot().Record
				t.Logf("%d bytes of JSON, %d intents, evidence on %d requests", recordSize(got), len(got.Intents), len(got.Quarantine))
				if len(got.Quarantine) == 0 || got.Quarantine[0].Request != known[0].Request {
					t.Errorf("the gravest evidence is not stored: %d", len(got.Quarantine))
				}
			})
		})
	}
}
