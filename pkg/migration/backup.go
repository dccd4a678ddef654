package migration

import "time"

// Risk holds the observations from which the crash probability of a server is estimated.
type Risk struct {
	// ConnectionBroke reports that a connection to the server broke during a recent request. A
	// server that refuses requests because it is full is at no higher risk than others.
	ConnectionBroke bool
	// Crashes is the number of the service's servers that crashed within Window, and Servers is
	// the number of its servers.
	Crashes, Servers int
	Window           time.Duration
}

// Probabilities that a server crashes during a run.
const (
	// connectionBrokeChance applies to a server that broke a connection: most failing servers do
	// so before they crash, and one in five that do is assumed to crash.
	connectionBrokeChance = 0.2
	// maxChance bounds the estimate, as a few crashes among few servers are weak evidence.
	maxChance = 0.5
)

// CrashChance returns the probability, from 0 to maxChance, that the server crashes during a run
// of the given length.
func (r Risk) CrashChance(run time.Duration) float64 {
	chance := 0.0
	if r.Servers > 0 && r.Window > 0 {
		chance = float64(r.Crashes) / float64(r.Servers) * run.Seconds() / r.Window.Seconds()
	}
	if r.ConnectionBroke {
		chance = max(chance, connectionBrokeChance)
	}
	return min(chance, maxChance)
}

// copyCost is the cost of copying a token relative to the cost of prefilling it. An engine
// prefills some 20 tokens per millisecond and a link of hundreds of gigabits copies 20 times as
// many, but the copy occupies as much memory at the second server as the run does at the first.
const copyCost = 0.1

// minBackupTokens is the shortest prompt worth a copy. The prefill of a shorter one takes no longer
// than an acceptable pause between events.
const minBackupTokens = 512

// WorthBackup reports whether to copy a running stream to another server in case its server
// crashes. answer is the expected length of the answer in tokens, chance the probability of a
// crash. Without a copy a crash loses the prefill, and for a stream that may not run again also
// the request, which counts as its prompt plus its answer. The cost is copying all of the run's
// memory.
func WorthBackup(s Stream, answer int, chance float64) bool {
	if s.Tokens < minBackupTokens {
		return false
	}
	lost := float64(s.Tokens)
	if !s.Restartable {
		lost += float64(s.Tokens + answer)
	}
	return chance*lost > copyCost*float64(s.Tokens+answer)
}

// MaxBackupShare is the largest part of a server's memory that backup copies of one node's streams
// may occupy at a time. The server's own requests need the rest.
const MaxBackupShare = 1.0 / 16
