package watch

import "martenwheel.dev/pkg/revision"

// maxRecent limits the changes that a node keeps for nodes that missed some. It is enough for several seconds
// of a busy table, and the memory does not grow with the table.
const maxRecent = 1024

// recentChanges has the last changes of a table, oldest first.
type recentChanges struct {
	records []Record
	from    revision.Revision // all changes after this version are included
}

// reset drops all changes up to a version.
func (c *recentChanges) reset(version revision.Revision) {
	c.records, c.from = nil, version
}

// add appends changes.
func (c *recentChanges) add(records []Record) {
	c.records = append(c.records, records...)
	extra := len(c.records) - maxRecent
	if extra <= 0 {
		return
	}
	for _, r := range c.records[:extra] {
		c.from = max(c.from, r.Version)
	}
	c.records = append([]Record(nil), c.records[extra:]...) // frees the old array
}

// since returns the changes in parts after a version, and false if some of them are no longer known.
func (c *recentChanges) since(after revision.Revision, parts Parts) ([]Record, bool) {
	if after < c.from {
		return nil, false
	}
	var list []Record
	for _, r := range c.records {
		if r.Version > after && parts.Holds(r.Key) {
			list = append(list, r)
		}
	}
	return list, true
}
