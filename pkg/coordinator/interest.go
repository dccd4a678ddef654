package coordinator

import "time"

// interestTime is how long a node counts as interested in what it was asked for: well beyond the time
// that a record of a server lags behind, by which the others learn.
const interestTime = time.Minute

// interest is which nodes were asked for what lately. They alone are told at once when a server holds
// it, or not any more: orders grow with the fleet, and with each of them told to all nodes the
// messages grew with its square. It belongs to the holder's goroutine.
type interest struct {
	until map[demandKey]map[string]time.Time // by name of the node
	swept time.Time
}

// note notes that a node was asked for something.
func (i *interest) note(now time.Time, key demandKey, node string) {
	if node == "" {
		return
	}
	if i.until == nil {
		i.until = make(map[demandKey]map[string]time.Time)
	}
	if i.until[key] == nil {
		i.until[key] = make(map[string]time.Time)
	}
	i.until[key][node] = now.Add(interestTime)
}

// in tells whether a node is interested.
func (i *interest) in(now time.Time, key demandKey, node string) bool {
	return now.Before(i.until[key][node])
}

// sweep forgets what is over, now and then.
func (i *interest) sweep(now time.Time) {
	if now.Sub(i.swept) < interestTime {
		return
	}
	i.swept = now
	for key, nodes := range i.until {
		for name, until := range nodes {
			if !now.Before(until) {
				delete(nodes, name)
			}
		}
		if len(nodes) == 0 {
			delete(i.until, key)
		}
	}
}

// interested returns where the nodes but this one are reached that were asked for what a server holds.
func (h *Holder) interested(now time.Time, n Notice) []string {
	s := h.servers[n.Server]
	if s == nil || s.member == nil {
		return h.others()
	}
	key := demandKey{s.member.Service, n.Need}
	record, _ := h.Lease.Current()
	var list []string
	for name, node := range h.nodes {
		if node.node.Peers != record.Address && h.interest.in(now, key, name) {
			list = append(list, node.node.Peers)
		}
	}
	return list
}
