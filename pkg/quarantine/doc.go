// Package quarantine stops requests that crash the servers that run them from reaching more
// servers, and requests whose prompts have a part that does.
//
// A connection that breaks under a request has many possible causes: the server crashed by itself,
// it was killed, or another request crashed it. Evidence against a request is that several servers
// crashed shortly after they began to run it, and that none has completed it since. After one such
// crash the request is handled like any other, since most requests that were running on a crashed
// server are harmless. After two, where the second run began after the first crash was known, the
// request is suspected and runs in trials: over all nodes, a server runs only one suspected request
// at a time, so that the next crash shows which of them caused it. After a third round the request
// is in quarantine. It goes to no server until the quarantine expires or is lifted. If other
// suspected requests also crashed the servers of the third round, the request's next trial decides
// instead.
//
// A request that any node completed within the last minute is not blamed.
//
// The parts of a request's prompt are subjects of evidence beside the request itself, and all of the
// above holds for each of them: many requests may share a part that crashes servers and be different
// otherwise. A request runs as its gravest subject says. Crashes that one part explains don't make
// another one suspected. A request is suspected and put in quarantine whatever explains its crashes,
// but for a third round that another suspect shares.
//
// fingerprint.go identifies a subject that comes again. completed.go remembers what ran to its end.
// evidence.go has what is known of a subject, and how reports of several nodes are merged. blame.go
// decides which subjects are to blame. suspicion.go has runs that may have crashed their servers.
// lifetime.go has how long evidence counts. table.go keeps all of this on each node. trials.go has
// suspected requests run one at a time.
package quarantine
