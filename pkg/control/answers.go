package control

// handleOrderAnswered passes the answer to the owners of all cells. An owner
// recognises its own order by server and fence and ignores others.
func (m *Machine) handleOrderAnswered(e OrderAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.OrderAnswered(m.now, e.Server, e.Order, e.Result, e.Err)
		}
	}
}

func (m *Machine) handleInventoryAnswered(e InventoryAnswered) {
	for _, name := range m.cellOrder {
		if owner := m.cells[name].owner; owner != nil {
			owner.InventoryAnswered(m.now, e.Server, e.Request, e.Inventory, e.Err)
		}
	}
}

func (m *Machine) handleRecordRead(e RecordRead) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.recordKey() == e.Key {
			c.handleRecordRead(e.Record, e.Err)
		}
	}
}

func (m *Machine) handleRecordCommitted(e RecordCommitted) {
	for _, name := range m.cellOrder {
		if c := m.cells[name]; c.calls.token == e.Transaction.Token {
			c.handleRecordCommitted(e.Err)
		}
	}
}
