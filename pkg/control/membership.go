package control

import (
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/membership"
)

// Membership reports which nodes are alive and exchanges a small digest with each
// neighbour. *membership.Machine implements it.
type Membership interface {
	Tick(now time.Time) []membership.Packet
	Receive(now time.Time, from api.NodeRef, message any) []membership.Packet
	Leave(now time.Time) []membership.Packet
	Members() []membership.Member
	SetDigest(digest membership.Digest)
	Digest(id api.NodeID) (membership.Digest, bool)
}

// newMembership returns the membership used in production.
func newMembership(config Config) Membership {
	return membership.New(membership.Config{Self: config.Self, Seeds: config.Seeds, Seed: config.Seed})
}
