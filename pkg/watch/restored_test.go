package watch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"martenwheel.dev/pkg/revision"
	"martenwheel.dev/pkg/storeclock"
)

// restorableStore is a store that can be restored from backups, as a table sees it.
type restorableStore struct {
	epoch, number uint64
	rows          map[string]Record
	log           []Record
	backups       []restorableStore
}

// currentRevision returns the revision of the last write.
func (s *restorableStore) currentRevision() revision.Revision {
	r, err := revision.New(s.epoch, s.number)
	if err != nil {
		panic(err) // an error of the test
	}
	return r
}

func (s *restorableStore) write(key, value string) {
	s.number++
	r := Record{Key: key, Value: []byte(value), Version: s.currentRevision(), Gone: value == ""}
	s.log = append(s.log, r)
	delete(s.rows, key)
	if !r.Gone {
		s.rows[key] = r
	}
}

func (s *restorableStore) backup() {
	s.backups = append(s.backups, restorableStore{number: s.number, rows: maps.Clone(s.rows)})
}

// restore replaces the store's state by that of a backup. The rows get the new epoch and keep their numbers.
func (s *restorableStore) restore(c restorableStore) {
	s.epoch, s.number, s.log = s.epoch+1, c.number, nil
	s.rows = make(map[string]Record)
	for key, r := range c.rows {
		r.Version, _ = revision.New(s.epoch, r.Version.Number())
		s.rows[key] = r
	}
}

// wholeTable answers a read of the table.
func (s *restorableStore) wholeTable() Page {
	p := Page{Version: s.currentRevision()}
	for _, r := range s.rows {
		p.Records = append(p.Records, r)
	}
	return p
}

// changes answers a feed. It returns false if the history is gone or the store is of another epoch.
func (s *restorableStore) changes(after revision.Revision) (Page, bool) {
	if after.Epoch() != s.epoch || len(s.log) > 0 && s.log[0].Version > after+1 || len(s.log) == 0 && after < s.currentRevision() {
		return Page{}, false
	}
	p := Page{Version: s.currentRevision()}
	for _, r := range s.log {
		if r.Version > after {
			p.Records = append(p.Records, r)
		}
	}
	return p, true
}

// newTableOf returns a table that was read from a store.
func newTableOf(s *restorableStore) *Table {
	t := &Table{Name: "t", Bound: time.Second, Apply: func(map[string]Record, revision.Revision) {}, Logger: hclog.NewNullLogger()}
	t.Replace(s.wholeTable(), 0)
	return t
}

// values returns the values of rows by key.
func values(rows map[string]Record) map[string]string {
	all := make(map[string]string)
	for key, r := range rows {
		all[key] = string(r.Value)
	}
	return all
}

// TestAnswersOfTwoEpochsEndAtTheNewestRows checks in random runs that a table ends with the rows of the
// store, whichever answers come late, in whatever order, and however often the store is restored from any
// backup.
func TestAnswersOfTwoEpochsEndAtTheNewestRows(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) { runAnswers(t, seed) })
	}
}

func runAnswers(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 52))
	s := &restorableStore{number: 1, rows: make(map[string]Record)}
	for i := range 5 {
		s.write(fmt.Sprint("k", i), "first")
	}
	s.backup()
	table := newTableOf(s)
	var late []func()
	for step := range 200 {
		switch key := fmt.Sprint("k", random.IntN(8)); random.IntN(10) {
		case 0, 1:
			s.write(key, fmt.Sprint("v", step))
		case 2:
			s.write(key, "")
		case 3:
			s.backup()
		case 4:
			s.restore(s.backups[random.IntN(len(s.backups))])
		case 5:
			page := s.wholeTable()
			late = append(late, func() { table.Replace(page, 0) })
		case 6:
			page := s.wholeTable()
			late = append(late, func() { table.Merge(page, 0) })
		case 7:
			after := table.Version()
			if page, known := s.changes(after); known {
				late = append(late, func() { table.Change(after, page, 0) })
			}
		case 8:
			if len(late) > 0 {
				i := random.IntN(len(late))
				late[i]()
				late = append(late[:i], late[i+1:]...)
			}
		case 9:
			time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
			table.expireRestoreState()
		}
	}
	table.Replace(s.wholeTable(), 0)
	for _, answer := range late {
		answer()
	}
	time.Sleep(holdBackTime + keepLostTime)
	table.expireRestoreState()
	if got, want := values(table.rows), values(s.rows); !maps.Equal(got, want) {
		t.Errorf("seed %d: the table has the rows %v, the store %v", seed, got, want)
	}
}

// TestRowsThatABackupLacksStayForAWhile checks that rows that a restored table lacks are kept, that they are
// dropped in time if nobody writes them again, and that other nodes are not sent them.
func TestRowsThatABackupLacksStayForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{number: 1, rows: make(map[string]Record)}
		s.backup()
		s.write("back", "v")
		s.write("lost", "v")
		table := newTableOf(s)
		s.restore(s.backups[0])
		table.Replace(s.wholeTable(), 0)
		if len(table.rows) != 2 {
			t.Errorf("after the store was restored without two rows, the table has %v", values(table.rows))
		}
		if sent, _ := table.allRows(); len(sent.Records) != 0 {
			t.Errorf("other nodes are sent %v", sent.Records)
		}
		after := table.Version()
		s.write("back", "again")
		page, _ := s.changes(after)
		table.Change(after, page, 0)
		time.Sleep(keepLostTime + time.Millisecond)
		table.expireRestoreState()
		if got := values(table.rows); len(got) != 1 || got["back"] != "again" {
			t.Errorf("after %v the table has %v", keepLostTime, got)
		}
	})
}

// TestRemovedRowsDoNotReturnWithABackup checks that removed rows that a restored table has again are held
// back, unless they are written again or stay for long.
func TestRemovedRowsDoNotReturnWithABackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restorableStore{number: 1, rows: make(map[string]Record)}
		for _, key := range []string{"a", "b", "c"} {
			s.write(key, "v")
		}
		s.backup()
		table := newTableOf(s)
		for _, key := range []string{"a", "b", "c"} {
			after := table.Version()
			s.write(key, "")
			page, _ := s.changes(after)
			table.Change(after, page, 0)
		}
		s.restore(s.backups[0])
		for range 2 {
			table.Replace(s.wholeTable(), 0)
			if len(table.rows) != 0 {
				t.Errorf("removed rows are back: %v", values(table.rows))
			}
		}
		after := table.Version()
		s.write("a", "again")
		s.write("b", "")
		page, _ := s.changes(after)
		table.Change(after, page, 0)
		if got := values(table.rows); len(got) != 1 || got["a"] != "again" {
			t.Errorf("after one row was written again, the table has %v", got)
		}
		time.Sleep(holdBackTime + time.Millisecond)
		table.expireRestoreState()
		if got := values(table.rows); len(got) != 2 || got["c"] != "v" {
			t.Errorf("after %v the table has %v", holdBackTime, got)
		}
	})
}

// TestDataOfAnEarlierEpochIsRejected checks that changes and tables of an earlier epoch, which a node that
// missed the restore may send, are refused.
func TestDataOfAnEarlierEpochIsRejected(t *testing.T) {
	s := &restorableStore{number: 1, rows: make(map[string]Record)}
	s.backup()
	for i := range 50 {
		s.write("k", fmt.Sprint(i))
	}
	old := s.wholeTable()
	table := newTableOf(s)
	s.restore(s.backups[0])
	s.write("k", "new")
	table.Replace(s.wholeTable(), 0)
	version := table.Version()
	if table.Replace(old, 0) || table.Merge(old, 0) {
		t.Error("a table of an earlier epoch was accepted")
	}
	table.Change(old.Version, old, 0)
	if got := values(table.rows); got["k"] != "new" || table.Version() != version {
		t.Errorf("the table has %v at %v", got, table.Version())
	}
}

// TestLagAfterARestoreCountsFromBefore checks that after a restore the lag covers the changes made before the
// outage, which the backup may lack, until their owners have had the time to write them again. If the store's
// clock went back with the restore, the lag is unknown.
func TestLagAfterARestoreCountsFromBefore(t *testing.T) {
	for name, back := range map[string]time.Duration{"the clock goes on": 0, "the clock goes back": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var store storeclock.Clock
				began := time.Now().Add(-2 * time.Hour)
				stamp := func() time.Duration { return time.Since(began) }
				s := &restorableStore{number: 1, rows: make(map[string]Record)}
				s.backup()
				page := func() Page {
					store.Observe(time.Now(), stamp())
					p := s.wholeTable()
					p.AsOf, p.Dated = stamp(), true
					return p
				}
				table := newTableOf(s)
				table.Clock = &store
				table.Replace(page(), 0)
				const outage = 2 * time.Second
				time.Sleep(outage)
				s.restore(s.backups[0])
				began = began.Add(back)
				table.Replace(page(), 0)
				if lag, known := table.Lag(); known && lag < outage || known != (back == 0) {
					t.Errorf("after the restore the lag is %v, known %t", lag, known)
				}
				if age := table.Age(); age > time.Second {
					t.Errorf("the rows, just read, have the age %v", age)
				}
				time.Sleep(keepLostTime + time.Millisecond)
				table.expireRestoreState()
				store.Observe(time.Now(), stamp()) // as by answers about other tables
				if lag, known := table.Lag(); known && lag < outage+keepLostTime {
					t.Errorf("the rows were not read again, but the lag is only %v", lag)
				}
				table.Replace(page(), 0)
				if lag, known := table.Lag(); !known || lag > time.Second {
					t.Errorf("after the next read the lag is %v, known %t", lag, known)
				}
			})
		})
	}
}
