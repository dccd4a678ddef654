package keeper

import (
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"martenwheel.dev/pkg/api"
)

var testMembers = []api.NodeRef{
	{ID: "a", Incarnation: 1, PeerAddress: "a"},
	{ID: "b", Incarnation: 1, PeerAddress: "b"},
	{ID: "c", Incarnation: 1, PeerAddress: "c"},
}

func testConfiguration() Configuration {
	return Configuration{Cell: simCell, Version: api.FirstConfigVersion, Members: testMembers}
}

func testStore(t testing.TB, limits Limits) *Store {
	t.Helper()
	store := NewStore(testMembers[0], limits)
	store.SetConfiguration(simStart, testConfiguration())
	return store
}

func testClaim(value, attempt string) Claim {
	return Claim{Key: Key{Cell: simCell, Caller: "pump", Value: value}, Attempt: attempt, Retention: time.Minute}
}

func claimAt(t testing.TB, store *Store, now time.Time, request ClaimRequest) ClaimReply {
	t.Helper()
	reply, err := store.Handle(now, request)
	if err != nil {
		t.Fatal(err)
	}
	return reply.(ClaimReply)
}

func TestStoreAnswersClaims(t *testing.T) {
	otherBody := testClaim("k", "2")
	otherBody.Digest[0] = 1
	otherCell := testClaim("k", "2")
	otherCell.Key.Cell = "other"
	tooLong := testClaim("k", "2")
	tooLong.Retention = 2 * time.Hour
	first := ClaimRequest{Claim: testClaim("k", "1"), Round: 1, Version: 1}
	cases := []struct {
		name    string
		before  []any
		after   time.Duration
		request ClaimRequest
		want    Outcome
	}{
		{"new key", nil, 0, first, OutcomeGranted},
		{"same message twice", []any{first}, 0, first, OutcomeGranted},
		{"another attempt", []any{first}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeHeld},
		{"another body", []any{first}, 0, ClaimRequest{otherBody, 1, 1}, OutcomeMismatch},
		{"another cell", nil, 0, ClaimRequest{otherCell, 1, 1}, OutcomeInvalid},
		{"no attempt", nil, 0, ClaimRequest{testClaim("k", ""), 1, 1}, OutcomeInvalid},
		{"no key", nil, 0, ClaimRequest{testClaim("", "2"), 1, 1}, OutcomeInvalid},
		{"retention too long", nil, 0, ClaimRequest{tooLong, 1, 1}, OutcomeInvalid},
		{"older configuration", nil, 0, ClaimRequest{testClaim("k", "2"), 1, 0}, OutcomeWrongVersion},
		{"newer configuration", nil, 0, ClaimRequest{testClaim("k", "2"), 1, 2}, OutcomeWrongVersion},
		{"answered", []any{first, CompleteRequest{Claim: first.Claim}}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeAnswered},
		{"released", []any{first, ReleaseRequest{first.Claim.Key, "1", 1}}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeGranted},
		{"released by another attempt", []any{first, ReleaseRequest{first.Claim.Key, "2", 1}}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeHeld},
		{"released in an earlier round", []any{ClaimRequest{first.Claim, 2, 1}, ReleaseRequest{first.Claim.Key, "1", 1}}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeHeld},
		{"answered, then released", []any{first, CompleteRequest{Claim: first.Claim}, ReleaseRequest{first.Claim.Key, "1", lastRound}}, 0, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeAnswered},
		{"just before it is forgotten", []any{first}, time.Minute + MaxGrantAge - 1, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeHeld},
		{"forgotten", []any{first}, time.Minute + MaxGrantAge, ClaimRequest{testClaim("k", "2"), 1, 1}, OutcomeGranted},
	}
	limits := DefaultLimits()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := testStore(t, limits)
			for _, request := range test.before {
				if _, err := store.Handle(simStart, request); err != nil {
					t.Fatal(err)
				}
			}
			if got := claimAt(t, store, simStart.Add(test.after), test.request); got.Outcome != test.want {
				t.Errorf("got %+v, want outcome %d", got, test.want)
			}
		})
	}
}

func TestStoreStopsWithoutConfirmation(t *testing.T) {
	limits := DefaultLimits()
	limits.ConfirmWithin = simConfirm
	store := testStore(t, limits)
	late := simStart.Add(simConfirm)
	request := ClaimRequest{testClaim("k", "1"), 1, 1}
	if got := claimAt(t, store, late, request); got.Outcome != OutcomeAbstained {
		t.Errorf("unconfirmed: outcome %d", got.Outcome)
	}
	store.Confirm(late, 2)
	if got := claimAt(t, store, late, request); got.Outcome != OutcomeAbstained {
		t.Errorf("another version confirmed: outcome %d", got.Outcome)
	}
	store.Confirm(late, 1)
	if got := claimAt(t, store, late, request); got.Outcome != OutcomeGranted {
		t.Errorf("confirmed: outcome %d", got.Outcome)
	}
}

// TestFullStoreRefusesAndForgetsNothing fills a store up to each limit. Further
// claims must be refused without removing existing records.
func TestFullStoreRefusesAndForgetsNothing(t *testing.T) {
	limits := Limits{Records: 10, RecordsPerCaller: 6, AnswerBytes: 100, MaxRetention: time.Hour}
	store := testStore(t, limits)
	granted := 0
	for caller := range 3 {
		for key := range 8 {
			claim := testClaim(strconv.Itoa(key), "1")
			claim.Key.Caller = strconv.Itoa(caller)
			switch got := claimAt(t, store, simStart, ClaimRequest{claim, 1, 1}).Outcome; got {
			case OutcomeGranted:
				granted++
			case OutcomeFull:
			default:
				t.Fatalf("outcome %d", got)
			}
		}
	}
	if granted != 10 || store.Len() != 10 || store.records.perCaller["0"] != 6 {
		t.Errorf("%d granted, %d records, first caller has %d", granted, store.Len(), store.records.perCaller["0"])
	}
	for key, size := range map[string]int{"0": 80, "1": 80} {
		claim := testClaim(key, "1")
		claim.Key.Caller = "0"
		if _, err := store.Handle(simStart, CompleteRequest{claim, Answer{Status: 200, Body: make([]byte, size)}}); err != nil {
			t.Fatal(err)
		}
	}
	if store.records.answerBytes != 80 {
		t.Errorf("store has %d bytes of answers, want 80", store.records.answerBytes)
	}
}

func TestStoreRefusesUnknownMessages(t *testing.T) {
	if _, err := testStore(t, DefaultLimits()).Handle(simStart, "claim"); err == nil {
		t.Error("Handle accepted a string")
	}
}

// TestCopyBringsAllRecordsOfAMajority copies several pages of records, each
// delivered twice, from members that adopt the new configuration only later.
func TestCopyBringsAllRecordsOfAMajority(t *testing.T) {
	limits := DefaultLimits()
	next := Configuration{Cell: simCell, Version: 2, Members: []api.NodeRef{testMembers[0], testMembers[1], {ID: "d", Incarnation: 1}}, Previous: testMembers}
	sources := map[api.NodeRef]*Store{}
	for i, member := range testMembers[:2] {
		store := NewStore(member, limits)
		store.SetConfiguration(simStart, testConfiguration())
		for key := range 2*copyPageRecords + 5 {
			claimAt(t, store, simStart, ClaimRequest{testClaim(strconv.Itoa(i)+"-"+strconv.Itoa(key), "1"), 1, 1})
		}
		sources[member] = store
	}
	fresh := NewStore(next.Members[2], limits)
	fresh.SetConfiguration(simStart, next)
	pages := 0
	copyOnce := func() {
		for source, request := range fresh.CopyRequests(simStart) {
			store := sources[source]
			if store == nil {
				continue
			}
			reply, err := store.Handle(simStart, request)
			if err != nil {
				t.Fatal(err)
			}
			fresh.AddCopy(simStart, source, request, reply.(CopyReply))
			fresh.AddCopy(simStart, source, request, reply.(CopyReply)) // duplicate page
			pages++
		}
	}
	copyOnce()
	if fresh.Len() != 0 {
		t.Fatal("records were copied from members that still use the previous configuration")
	}
	for _, store := range sources {
		store.SetConfiguration(simStart, next)
	}
	for len(fresh.CopyRequests(simStart)) > 0 && pages < 20 {
		copyOnce()
	}
	if want := 2 * (2*copyPageRecords + 5); fresh.Len() != want || !fresh.granting {
		t.Errorf("%d records after %d pages, granting %v; want %d", fresh.Len(), pages, fresh.granting, want)
	}
}

// TestStoreGrantsOneAttemptAtATime sends random messages and compares the outcomes
// with a model that tracks which attempt holds each key.
func TestStoreGrantsOneAttemptAtATime(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20260101)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("one holder per key, and consistent indexes and counters", prop.ForAll(func(steps []int) bool {
		limits := Limits{Records: 4, RecordsPerCaller: 4, AnswerBytes: 64, MaxRetention: time.Hour}
		store := testStore(t, limits)
		now := simStart
		holder := map[string]string{}
		since := map[string]time.Time{}
		for _, step := range steps {
			now = now.Add(time.Duration(step%7) * 5 * time.Second)
			claim := testClaim(strconv.Itoa(step/7%3), strconv.Itoa(step/21%3))
			key := claim.Key.Value
			if now.Sub(since[key]) >= claim.Retention+MaxGrantAge {
				delete(holder, key)
			}
			switch step / 63 % 4 {
			case 0, 1:
				granted := claimAt(t, store, now, ClaimRequest{claim, 1, 1}).Outcome == OutcomeGranted
				free := holder[key] == ""
				if granted != (free || holder[key] == claim.Attempt) {
					return false
				}
				if free {
					holder[key], since[key] = claim.Attempt, now
				}
			case 2:
				if _, err := store.Handle(now, ReleaseRequest{claim.Key, claim.Attempt, 1}); err != nil {
					return false
				}
				if holder[key] == claim.Attempt {
					delete(holder, key)
				}
			case 3:
				if holder[key] != claim.Attempt {
					continue
				}
				if _, err := store.Handle(now, CompleteRequest{claim, Answer{Body: make([]byte, 40)}}); err != nil {
					return false
				}
				holder[key] = "answered"
			}
			if !isConsistent(store.records) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(200, gen.IntRange(0, 251))))
	properties.TestingRun(t)
}

// isConsistent reports whether the counters and the expiry index match the records.
func isConsistent(records *records) bool {
	perCaller, answers := 0, 0
	for _, each := range records.byKey {
		if each.answer != nil {
			answers += len(each.answer.Body)
		}
		if records.byExpiry[each.heapIndex] != each {
			return false
		}
	}
	for _, count := range records.perCaller {
		perCaller += count
	}
	return perCaller == len(records.byKey) && len(records.byExpiry) == len(records.byKey) && records.answerBytes == answers
}
