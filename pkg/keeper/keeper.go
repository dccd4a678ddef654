package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
)

// ErrNoKeeper is returned for a request whose cell this node is not a keeper of.
var ErrNoKeeper = errors.New("keeper: not a keeper of this cell")

var errUnexpectedReply = errors.New("keeper: reply of an unexpected type")

// Keeper holds the stores of the cells that a node is a keeper of. It is safe for
// concurrent use.
type Keeper struct {
	self   api.NodeRef
	limits Limits
	clock  func() time.Time
	mutex  sync.Mutex
	stores map[api.CellName]*Store
}

// NewKeeper returns the keeper of this incarnation of a node.
func NewKeeper(self api.NodeRef, limits Limits, clock func() time.Time) *Keeper {
	return &Keeper{self: self, limits: limits, clock: clock, stores: map[api.CellName]*Store{}}
}

// SetConfiguration adopts a committed configuration. If this node is no longer a
// member, the cell's store is kept until its records expire, so that new members
// can copy them.
func (k *Keeper) SetConfiguration(configuration Configuration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	store := k.stores[configuration.Cell]
	if store == nil {
		if !isAmong(k.self, configuration.Members) {
			return
		}
		store = NewStore(k.self, k.limits)
		k.stores[configuration.Cell] = store
	}
	store.SetConfiguration(k.clock(), configuration)
}

// Confirm records a confirmation by the cell's owner that a configuration version
// is in force.
func (k *Keeper) Confirm(cell api.CellName, version uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if store := k.stores[cell]; store != nil {
		store.Confirm(k.clock(), version)
	}
}

// SetMaxRetention changes the longest retention of claims in all cells.
func (k *Keeper) SetMaxRetention(retention time.Duration) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.limits.MaxRetention = retention
	for _, store := range k.stores {
		store.SetMaxRetention(retention)
	}
}

// HandleMessage answers the messages of this package; handled is false for any
// other message.
func (k *Keeper) HandleMessage(message peer.Message) (reply peer.Message, handled bool, err error) {
	cell, handled := cellOf(message)
	if !handled {
		return nil, false, nil
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	store := k.stores[cell]
	if store == nil {
		return nil, true, ErrNoKeeper
	}
	reply, err = store.Handle(k.clock(), message)
	return reply, true, err
}

func cellOf(message peer.Message) (api.CellName, bool) {
	switch message := message.(type) {
	case ClaimRequest:
		return message.Claim.Key.Cell, true
	case CompleteRequest:
		return message.Claim.Key.Cell, true
	case ReleaseRequest:
		return message.Key.Cell, true
	case CopyRequest:
		return message.Cell, true
	default:
		return "", false
	}
}

// copyTask is one page to fetch from another member.
type copyTask struct {
	cell    api.CellName
	source  api.NodeRef
	request CopyRequest
}

// Intervals and timeouts of Run.
const (
	copyInterval = 50 * time.Millisecond // pause between pages while records are being copied
	idleInterval = time.Second           // pause when there is nothing to copy
	copyTimeout  = 2 * time.Second       // timeout of fetching one page
)

// Run copies the records that the stores need and removes expired ones until the
// context ends.
func (k *Keeper) Run(ctx context.Context, caller Caller) {
	for ctx.Err() == nil {
		k.Tick()
		interval := idleInterval
		pageCtx, cancel := context.WithTimeout(ctx, copyTimeout)
		if k.CopyRecords(pageCtx, caller) {
			interval = copyInterval
		}
		cancel()
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// CopyRecords fetches, in parallel, the next page from each member that a store
// of this node has to copy from, and returns whether there was any to fetch. It
// is meant to be called in a loop, each time with a deadline, and with a pause
// after calls that had nothing to do or made no progress.
func (k *Keeper) CopyRecords(ctx context.Context, caller Caller) (copying bool) {
	tasks := k.copyTasks()
	var group conc.WaitGroup
	for _, task := range tasks {
		group.Go(func() {
			message, err := caller.Call(ctx, task.source.PeerAddress, task.request)
			page, ok := message.(CopyReply)
			if err == nil && ok {
				k.addCopy(task, page)
			}
		})
	}
	group.Wait()
	return len(tasks) > 0
}

func (k *Keeper) copyTasks() []copyTask {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var tasks []copyTask
	now := k.clock()
	for cell, store := range k.stores {
		for source, request := range store.CopyRequests(now) {
			tasks = append(tasks, copyTask{cell: cell, source: source, request: request})
		}
	}
	return tasks
}

func (k *Keeper) addCopy(task copyTask, page CopyReply) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if store := k.stores[task.cell]; store != nil {
		store.AddCopy(k.clock(), task.source, task.request, page)
	}
}

// Tick removes expired records, and the empty stores of cells that this node is
// no longer a keeper of.
func (k *Keeper) Tick() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	for cell, store := range k.stores {
		store.tick(now)
		if store.Len() == 0 && !store.member() {
			delete(k.stores, cell)
		}
	}
}

// CellStatus is the state of one cell's store.
type CellStatus struct {
	Cell     api.CellName
	Version  uint64 // configuration version
	Granting bool   // false while the keeper abstains
	Records  int
}

// Status returns the state of all stores.
func (k *Keeper) Status() []CellStatus {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	var status []CellStatus
	for cell, store := range k.stores {
		store.tick(now)
		status = append(status, CellStatus{
			Cell:     cell,
			Version:  store.configuration.Version,
			Granting: store.mayGrant(now),
			Records:  store.Len(),
		})
	}
	return status
}
