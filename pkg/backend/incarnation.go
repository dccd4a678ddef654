package backend

import (
	"strconv"
	"strings"
)

// Incarnation identifies one run of a server, from the start of its process to its end. What is known of a
// server applies to one incarnation only, since a restarted server has no state.
type Incarnation struct {
	Instance string // name of the server, which its next incarnation may share
	Started  int64  // start as a Unix time in milliseconds; zero: unknown, and each incarnation has its own name
}

// startSeparator separates the name of a server from its start in the ID of an incarnation.
const startSeparator = "~"

// startBase is the number base of the start in an ID.
const startBase = 36

// ID identifies the incarnation among those of all servers. ParseIncarnation is the inverse.
func (i Incarnation) ID() string {
	if i.Started == 0 && !strings.Contains(i.Instance, startSeparator) {
		return i.Instance
	}
	return i.Instance + startSeparator + strconv.FormatInt(i.Started, startBase)
}

// ParseIncarnation parses the ID of an incarnation. A text without a valid start is the name of an instance
// whose start is unknown.
func ParseIncarnation(id string) Incarnation {
	i := strings.LastIndex(id, startSeparator)
	if i < 0 {
		return Incarnation{Instance: id}
	}
	started, err := strconv.ParseInt(id[i+len(startSeparator):], startBase, 64)
	if err != nil {
		return Incarnation{Instance: id}
	}
	return Incarnation{Instance: id[:i], Started: started}
}

// SameServer reports whether two IDs belong to incarnations of the same server.
func SameServer(a, b string) bool {
	return ParseIncarnation(a).Instance == ParseIncarnation(b).Instance
}
