package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/peer"
)

// keeperNetwork connects the keepers of a test by their addresses.
type keeperNetwork map[string]*Keeper

func (n keeperNetwork) Call(_ context.Context, address string, message peer.Message) (peer.Message, error) {
	k := n[address]
	if k == nil {
		return nil, peer.ErrUnreachable
	}
	reply, _, err := k.HandleMessage(message)
	return reply, err
}

// TestALeavingKeeperStaysUntilItsSuccessorHasTheRecords guards against replacements in a row that leave too few keepers.
func TestALeavingKeeperStaysUntilItsSuccessorHasTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := make(keeperNetwork)
		nodes := make(map[rune]api.NodeRef)
		for _, id := range "abcd" {
			nodes[id] = api.NodeRef{ID: api.NodeID(id), Incarnation: 1, PeerAddress: string(id)}
			network[string(id)] = NewKeeper(nodes[id], DefaultLimits(), time.Now)
		}
		members := func(ids string) (list []api.NodeRef) {
			for _, id := range ids {
				list = append(list, nodes[id])
			}
			return list
		}
		adopt := func(ids string, c Configuration) {
			for _, id := range ids {
				network[string(id)].SetConfiguration(c)
			}
		}
		await := func(timeout time.Duration) int {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			return network["c"].AwaitSuccessors(ctx, network)
		}
		adopt("abc", Configuration{Cell: simCell, Version: 1, Members: members("abc")})
		if unready := await(time.Second); unready != 1 {
			t.Errorf("a node that is still a keeper may leave: %d cells are not ready", unready)
		}
		adopt("abcd", Configuration{Cell: simCell, Version: 2, Members: members("abd"), Previous: members("abc")})
		if unready := await(time.Second); unready != 1 {
			t.Errorf("the node may leave before its successor has the records: %d cells are not ready", unready)
		}
		time.AfterFunc(time.Second, func() { network["d"].CopyRecords(t.Context(), network) })
		began := time.Now()
		if unready := await(10 * time.Second); unready != 0 || time.Since(began) > time.Second+2*successorPoll {
			t.Errorf("%d cells are not ready after %v", unready, time.Since(began))
		}
	})
}
