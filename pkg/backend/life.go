package backend

import (
	"strconv"
	"strings"
)

// Life names one life of a server: from a start of its process to its end. What is believed
// of a server holds for one life only, as the next one begins with nothing.
type Life struct {
	Instance string // the name that the server answers to, which its next life may have as well
	Born     int64  // Unix millisecond of its start; zero: not told, each life has a name of its own
}

// bornMark stands between the name of a server and its start in the ID of a life.
const bornMark = "~"

// bornBase is the base in which an ID tells the start of a life.
const bornBase = 36

// ID names the life among all lives of all servers. ParseLife is the inverse.
func (l Life) ID() string {
	if l.Born == 0 && !strings.Contains(l.Instance, bornMark) {
		return l.Instance
	}
	return l.Instance + bornMark + strconv.FormatInt(l.Born, bornBase)
}

// ParseLife reads the ID of a life. A text without a start that can be read names an instance whose
// start is not told.
func ParseLife(id string) Life {
	i := strings.LastIndex(id, bornMark)
	if i < 0 {
		return Life{Instance: id}
	}
	born, err := strconv.ParseInt(id[i+len(bornMark):], bornBase, 64)
	if err != nil {
		return Life{Instance: id}
	}
	return Life{Instance: id[:i], Born: born}
}

// SameServer tells whether two IDs are of lives of the same server.
func SameServer(a, b string) bool { return ParseLife(a).Instance == ParseLife(b).Instance }
