package coordinator

import "time"

// interestTime is how long a node counts as interested in a model that it was asked for: much longer than the lag of
// servers' records, by which the other nodes learn.
const interestTime = time.Minute

// interest records which nodes were recently asked for which models. Only they are notified at once when a server holds
// the model, or no longer does: the number of orders grows with the fleet, and if all nodes were notified of each, the
// messages would grow with its square. It belongs to the goroutine of Run.
type interest struct {
	until map[demandKey]map[string]time.Time // by name of the node
	swept time.Time
}

// note records that a node was asked for a model or adapter.
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

// includes tells whether a node is interested.
func (i *interest) includes(now time.Time, key demandKey, node string) bool {
	return now.Before(i.until[key][node])
}

// sweep drops expired entries from time to time.
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

// interested returns the addresses of the other nodes that were asked for what a notice is about.
func (h *Holder) interested(now time.Time, n Notice) []string {
	s := h.servers[n.Server]
	if s == nil || s.member == nil {
		return h.otherNodes()
	}
	key := demandKey{s.member.Service, n.Need}
	record, _ := h.Lease.Current()
	var list []string
	for name, node := range h.nodes {
		if node.node.Peers != record.Address && h.interest.includes(now, key, name) {
			list = append(list, node.node.Peers)
		}
	}
	return list
}
