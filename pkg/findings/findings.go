// Package findings collects errors together with the place of each, so that a
// user sees all of them at once.
package findings

import (
	"fmt"
	"strings"
)

// Finding is an error and its place, such as "settings.yaml:12 listen.callers".
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// String formats the finding as "place: message".
func (f Finding) String() string {
	return f.Place + ": " + f.Message
}

// List collects findings. The zero value is ready to use. It is not safe for
// concurrent use.
type List struct {
	found []Finding
}

// Addf records a finding at place.
func (l *List) Addf(place, format string, arguments ...any) {
	l.found = append(l.found, Finding{Place: place, Message: fmt.Sprintf(format, arguments...)})
}

// Merge adds the findings of err if it is an *Error. Any other error is added as
// one finding at place; nil adds nothing.
func (l *List) Merge(place string, err error) {
	if err == nil {
		return
	}
	if reported, ok := err.(*Error); ok {
		l.found = append(l.found, reported.Findings...)
		return
	}
	l.Addf(place, "%v", err)
}

// Len returns the number of findings so far.
func (l *List) Len() int {
	return len(l.found)
}

// Err returns nil if there are no findings, else an *Error with a copy of all
// findings in the order in which they were added.
func (l *List) Err() error {
	if len(l.found) == 0 {
		return nil
	}
	return &Error{Findings: append([]Finding(nil), l.found...)}
}

// Error is an error with one or more findings.
type Error struct {
	Findings []Finding `json:"findings"`
}

// Error lists the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, finding := range e.Findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
