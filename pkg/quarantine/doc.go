// Package quarantine keeps requests that end the servers that run them from more servers.
//
// A connection that breaks under a request may mean much: a crash of the server by itself,
// a kill, a neighbour's request. Evidence against a request is that different servers ended
// within a moment of beginning to run it, and that none has run it to its end since. With
// one such end the request goes on as any other: most that ran at a server when it ended
// are innocent. With two, the second under a run that began after the first was known, it is
// suspected and runs apart: of all suspected requests one at a server at a time, over all
// nodes, so that the next end tells which of them it was. With a third round it is in
// quarantine and goes to no server until that lapses or is lifted, unless other suspected
// requests ended the servers of that round as well: then its next turn tells.
//
// A request that ran to its end within the last minute, at any node, is not blamed.
//
// fingerprint.go names a request that comes again; ran.go remembers those that ran;
// evidence.go is what is known of one, and how the words of several nodes become one; table.go
// holds it on each node; turns.go has suspected requests run one at a time.
package quarantine
