package watch

import "martenwheel.dev/pkg/revision"

// mostRecent bounds the changes that a node keeps for those who miss some: those of several seconds
// of a busy table, in memory that does not grow with it.
const mostRecent = 1024

// recentChanges are the last changes of a table, oldest first.
type recentChanges struct {
	records []Record
	from    revision.Revision // all changes after this version are among them
}

// reset begins anew: nothing is known of changes up to a version.
func (c *recentChanges) reset(version revision.Revision) {
	c.records, c.from = nil, version
}

// add notes changes.
func (c *recentChanges) add(records []Record) {
	c.records = append(c.records, records...)
	extra := len(c.records) - mostRecent
	if extra <= 0 {
		return
	}
	for _, r := range c.records[:extra] {
		c.from = max(c.from, r.Version)
	}
	c.records = append([]Record(nil), c.records[extra:]...) // lets go of the array before
}

// since returns the changes of parts after a version, false if some are not known any more.
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
