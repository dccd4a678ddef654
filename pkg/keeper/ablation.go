package keeper

// ablation switches mechanisms off, one by one. Only tests set it, to show
// that they find what goes wrong without each mechanism.
type ablation struct {
	noAbstention   bool // a new member grants at once
	noConfirmation bool // a keeper grants for ever with its configuration
	noVersionCheck bool // a keeper takes part under any configuration's version
	noCopyBarrier  bool // records are copied from members that did not adopt the configuration
	oneGrant       bool // one grant makes a claim, not a majority
	noRounds       bool // a release takes grants of later rounds away
	releaseAlways  bool // a claim is released though it may have run
	noGrantAge     bool // a request is sent on however old its grant is
}
