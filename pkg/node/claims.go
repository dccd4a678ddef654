package node

import (
	"sync"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/tree"
)

// claimState holds what this node needs to run unsafe requests at most once: the keeper
// of the cells whose quorum groups the node belongs to, and the newest configuration
// of every cell for the node's own claims. It is safe for concurrent use.
type claimState struct {
	keeper *keeper.Keeper

	mutex          sync.RWMutex
	configurations map[api.CellName]keeper.Configuration
}

func newClaimState(self api.NodeRef) *claimState {
	return &claimState{
		keeper:         keeper.NewKeeper(self, keeper.DefaultLimits(), time.Now),
		configurations: make(map[api.CellName]keeper.Configuration),
	}
}

// adoptView adopts the configuration in a view of a cell if it is newer.
func (k *claimState) adoptView(view api.CellView) {
	configuration, present := keeper.ConfigurationOf(view)
	if !present {
		return
	}
	k.mutex.Lock()
	newer := configuration.Version > k.configurations[view.Cell].Version
	if newer {
		k.configurations[view.Cell] = configuration
	}
	k.mutex.Unlock()
	if newer {
		k.keeper.SetConfiguration(configuration)
	}
}

// configuration implements keeper.Configurations.
func (k *claimState) configuration(cell api.CellName) (keeper.Configuration, bool) {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	configuration, known := k.configurations[cell]
	return configuration, known
}

// adoptTree adopts the longest retention of the settings in force. After the loss of a
// whole quorum group, unsafe requests are refused for at least as long.
func (k *claimState) adoptTree(settings *tree.Tree) {
	longest := settings.Root().RepeatRetention
	for _, model := range settings.Models() {
		longest = max(longest, model.Settings.RepeatRetention)
	}
	k.keeper.SetMaxRetention(longest)
}
