// Package switches lets the tests of package control disable safety mechanisms
// one by one, to show that the tests detect the resulting violations. It is
// internal, so that no other part of the product can use it.
package switches

// Set selects the mechanisms to disable. The zero value disables none.
type Set struct {
	NoMajority              bool // a leader's state counts as committed at once
	NoPromise               bool // members accept any term
	NoIntents               bool // orders are sent before their intents are committed
	NoFence                 bool // inventories are read without raising the fence
	UnknownIsEmpty          bool // a new epoch treats unfenced servers as empty
	UnknownOutcomeIsRefused bool // an order without an answer counts as refused
	NoInstance              bool // orders do not name the engine's instance
	FreeOnUnload            bool // an accepted unload frees its memory at once
	NoRecheck               bool // limits are not rechecked when an order is sent
	TrustDecider            bool // actions of the policy are not checked against the limits
	NoAdmission             bool // servers are used before the table service records them
	NoVerify                bool // a new engine instance is used without reading the record
	TrustOldList            bool // a machine list that reports a machine gone is trusted whatever its age
	NoRevision              bool // an owner may use older settings than its predecessor
	NoTreeFloor             bool // an older tree may replace a newer one
}
