// Package quarantine stops requests that crash the servers that run them from reaching more
// servers.
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
// fingerprint.go identifies a request that comes again. completed.go remembers completed requests.
// evidence.go has what is known of a request, and how reports of several nodes are merged.
// suspicion.go has runs that may have crashed their servers. table.go keeps all of this on each
// node. trials.go has suspected requests run one at a time.
package quarantine
