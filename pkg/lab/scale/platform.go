package scale

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"martenwheel.dev/pkg/platform"
)

// hollowTable is a table service in memory.
type hollowTable struct {
	mutex   sync.Mutex
	records map[string]platform.Record
	tokens  map[string]bool // applied
}

func newHollowTable() *hollowTable {
	return &hollowTable{records: make(map[string]platform.Record), tokens: make(map[string]bool)}
}

var _ platform.Table = (*hollowTable)(nil)

// Get implements platform.Table.
func (t *hollowTable) Get(_ context.Context, key string, _ bool) (platform.Record, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	record, exists := t.records[key]
	if !exists {
		return platform.Record{}, platform.ErrNotFound
	}
	return record, nil
}

// List implements platform.Table.
func (t *hollowTable) List(_ context.Context, prefix string) ([]platform.Record, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []platform.Record
	for key, record := range t.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Commit implements platform.Table.
func (t *hollowTable) Commit(_ context.Context, transaction platform.Transaction) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.tokens[transaction.Token] {
		return nil
	}
	versions := make(map[string]uint64, len(transaction.Conditions))
	for _, condition := range transaction.Conditions {
		if t.records[condition.Key].Version != condition.Version {
			return platform.ErrConflict
		}
		versions[condition.Key] = condition.Version
	}
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(t.records, write.Key)
			continue
		}
		t.records[write.Key] = platform.Record{Key: write.Key, Value: write.Value, Version: versions[write.Key] + 1}
	}
	t.tokens[transaction.Token] = true
	return nil
}

// hollowObjects is an object store in memory.
type hollowObjects struct {
	mutex   sync.Mutex
	objects map[string][]byte
}

func newHollowObjects() *hollowObjects {
	return &hollowObjects{objects: make(map[string][]byte)}
}

var _ platform.Objects = (*hollowObjects)(nil)

// Put implements platform.Objects.
func (o *hollowObjects) Put(_ context.Context, name string, data []byte) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.objects[name] = data
	return nil
}

// Get implements platform.Objects.
func (o *hollowObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	data, exists := o.objects[name]
	if !exists {
		return nil, platform.ErrNotFound
	}
	return data, nil
}

// List implements platform.Objects.
func (o *hollowObjects) List(_ context.Context, prefix string) ([]string, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var names []string
	for name := range o.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Delete implements platform.Objects.
func (o *hollowObjects) Delete(_ context.Context, name string) error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	delete(o.objects, name)
	return nil
}

// hollowMachines is a list of machines that never changes.
type hollowMachines struct {
	byRegion map[string][]platform.Machine
}

var _ platform.Machines = (*hollowMachines)(nil)

// List implements platform.Machines.
func (m *hollowMachines) List(_ context.Context, region string) (platform.MachineList, error) {
	return platform.MachineList{Version: 1, AsOf: time.Now(), Machines: m.byRegion[region]}, nil
}
