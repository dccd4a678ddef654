package keeper

import (
	"context"
	"math"
	"time"

	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/api"
)

// successorPoll is the pause between questions to the members of a cell whether they grant claims.
const successorPoll = 50 * time.Millisecond

// afterLastRecord is the After of a CopyRequest that asks for no records.
const afterLastRecord = math.MaxUint64

// AwaitSuccessors waits until this node is no keeper of any cell and the members of each cell grant claims, or until
// ctx ends. A node that leaves before has records that its successor lacks: if the next node leaves as well, too few
// are left to copy from, and the cell's unsafe requests are refused until the records have expired. It returns the
// number of cells that are not ready.
func (k *Keeper) AwaitSuccessors(ctx context.Context, caller Caller) (unready int) {
	ticker := time.NewTicker(successorPoll)
	defer ticker.Stop()
	for {
		if unready = k.unreadyCells(ctx, caller); unready == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return unready
		case <-ticker.C:
		}
	}
}

// unreadyCells returns the number of cells whose members do not all grant claims without this node.
func (k *Keeper) unreadyCells(ctx context.Context, caller Caller) int {
	unready := 0
	for _, configuration := range k.configurations() {
		if !k.canDoWithout(ctx, caller, configuration) {
			unready++
		}
	}
	return unready
}

// configurations returns the configuration of each cell of which this node is or was a keeper.
func (k *Keeper) configurations() []Configuration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var list []Configuration
	for _, store := range k.stores {
		list = append(list, store.Configuration())
	}
	return list
}

// canDoWithout reports whether a cell no longer needs this node: it is not a member, and all members grant claims.
// Nobody can take the place of a node that is the only member.
func (k *Keeper) canDoWithout(ctx context.Context, caller Caller, configuration Configuration) bool {
	if isAmong(k.self, configuration.Members) {
		return len(configuration.Members) == 1
	}
	answers := pool.NewWithResults[bool]()
	for _, member := range configuration.Members {
		answers.Go(func() bool { return grants(ctx, caller, member, configuration) })
	}
	for _, granting := range answers.Wait() {
		if !granting {
			return false
		}
	}
	return true
}

// grants asks a member of a cell whether it grants claims.
func grants(ctx context.Context, caller Caller, member api.NodeRef, configuration Configuration) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	message, err := caller.Call(ctx, member.PeerAddress,
		CopyRequest{Cell: configuration.Cell, Version: configuration.Version, After: afterLastRecord})
	reply, ok := message.(CopyReply)
	return err == nil && ok && reply.Granting && reply.Version >= configuration.Version
}
