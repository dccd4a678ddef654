package control

// takeOrderAnswer offers an answer to all owners; the one whose order it was knows
// it by the server and the fence.
func (m *Machine) takeOrderAnswer(e OrderAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.OrderAnswered(m.now, e.Server, e.Order, e.Result, e.Err)
		}
	}
}

func (m *Machine) takeInventory(e InventoryAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.InventoryAnswered(m.now, e.Server, e.Request, e.Inventory, e.Err)
		}
	}
}

func (m *Machine) takeRecord(e RecordRead) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.recordKey() == e.Key {
			c.takeRecord(e.Record, e.Err)
		}
	}
}

func (m *Machine) takeCommit(e RecordCommitted) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.calls.token == e.Transaction.Token {
			c.takeCommit(e.Err)
		}
	}
}
