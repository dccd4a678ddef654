// Package switches lets the tests of package control take safety mechanisms
// away one by one, to show that the tests then find the violation. Being
// internal, it is out of reach of the rest of the product.
package switches

// Set names the mechanisms that are taken away. The zero value takes none.
type Set struct {
	NoMajority     bool // a leader's state counts as committed at once
	NoPromise      bool // members accept any term
	NoIntents      bool // orders go out before their intents are committed
	NoFence        bool // inventories are read without raising the fence
	UnknownIsEmpty bool // a new epoch counts unfenced servers as empty
	DoubtIsRefused bool // an order without answer counts as not carried out
	NoInstance     bool // orders do not name the engine's instance
	FreeOnUnload   bool // an accepted unload frees the memory at once
	NoRecheck      bool // limits are not checked again when an order goes out
	TrustDecider   bool // wishes of the decider are not checked
	NoAdmission    bool // servers are used before the table service records them
	NoVerify       bool // a new engine instance is used without reading the record
	BelieveList    bool // a list that says gone is believed whatever its age
	NoRevision     bool // an owner decides by older settings than the one before it
	NoTreeFloor    bool // an older tree replaces a newer one
}
