package keeper

// ablation disables individual safety mechanisms. Only tests set it, to show that
// they detect the violation that each mechanism prevents.
type ablation struct {
	noAbstention   bool // a new member grants claims immediately
	noConfirmation bool // a keeper keeps granting without confirmation of its configuration
	noVersionCheck bool // a keeper accepts claims of any configuration version
	noCopyBarrier  bool // records are copied from members that have not adopted the new configuration
	oneGrant       bool // one grant is enough for a claim instead of a majority
	noRounds       bool // a release also revokes grants of later rounds
	releaseAlways  bool // a claim is released even though its request may have run
	noGrantAge     bool // a request is forwarded however old its grant is
}
