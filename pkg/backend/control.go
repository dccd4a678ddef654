package backend

import (
	"martenwheel.dev/pkg/memory"
)

const (
	// maxControlBytes limits the body of an answer to a control message or a probe. Reports have a few kB.
	maxControlBytes = 1 << 20
	// maxControlHeld limits what all these bodies take while they are read and used.
	maxControlHeld = 16 << 20
)

// ReadControl reads the whole body of an answer to a control message, which the caller must release. It fails if the body
// is too long, or if those that are held already leave no room for it.
func (a *Answer) ReadControl() (*memory.Buffer, error) {
	body := memory.NewBuffer(a.conn.pool.control)
	if err := body.Fill(a, a.Length, maxControlBytes); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// controlBudget returns the budget for answers to control messages. The caller holds mu.
func (d *Directory) controlBudget() *memory.Budget {
	if d.control == nil {
		d.control = &memory.Budget{Limit: maxControlHeld}
	}
	return d.control
}
