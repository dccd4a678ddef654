package node

import (
	"sync"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/keeper"
	"martenwheel.dev/pkg/tree"
)

// keeping is this node's part in running unsafe requests at most once: the
// keeper of the cells whose quorum groups it belongs to, and the newest
// configuration of every cell for its own claims. Safe for concurrent use.
type keeping struct {
	keeper *keeper.Keeper

	mutex          sync.RWMutex
	configurations map[api.CellName]keeper.Configuration
}

func newKeeping(self api.NodeRef) *keeping {
	return &keeping{
		keeper:         keeper.NewKeeper(self, keeper.DefaultLimits(), time.Now),
		configurations: make(map[api.CellName]keeper.Configuration),
	}
}

// takeView adopts the configuration that a view of a cell carries.
func (k *keeping) takeView(view api.CellView) {
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
func (k *keeping) configuration(cell api.CellName) (keeper.Configuration, bool) {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	configuration, known := k.configurations[cell]
	return configuration, known
}

// takeTree adopts the longest retention of the settings in force. It is also
// how long unsafe requests are refused after the loss of a whole quorum group.
func (k *keeping) takeTree(settings *tree.Tree) {
	longest := settings.Root().RepeatRetention
	for _, model := range settings.Models() {
		longest = max(longest, model.Settings.RepeatRetention)
	}
	k.keeper.SetMaxRetention(longest)
}
