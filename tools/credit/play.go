package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/BurntSushi/toml"
)

// site is the part of a site file that is used here.
type site struct {
	path    string
	Classes []class `toml:"classes"`
}

func readSite(path string) (*site, error) {
	s := &site{}
	if _, err := toml.DecodeFile(path, s); err != nil {
		return nil, err
	}
	var err error
	s.path, err = filepath.Abs(path)
	return s, err
}

// of returns the class of a line's request, identified by its target; nil if there is none.
func (s *site) of(l *line) *class {
	for i := range s.Classes {
		if s.Classes[i].Target == l.Target {
			return &s.Classes[i]
		}
	}
	return nil
}

// report is the part of the bench's report on a day that is used here.
type report struct {
	Classes []struct {
		Name  string  `json:"name"`
		Owed  int     `json:"n"`
		Not   int     `json:"not_owed"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
}

// play runs a day and returns the breakdown of its losses. Classes with the same target are counted
// together under the name of the first class.
func (s *site) play(bench, checkout, day string, seed int) (split, error) {
	result := newSplit()
	file, err := os.CreateTemp("", "report")
	if err != nil {
		return result, err
	}
	_ = file.Close()
	defer os.Remove(file.Name())
	bench, err = filepath.Abs(bench)
	if err != nil {
		return result, err
	}
	command := exec.Command(bench, "run", s.path, day, "--seed", strconv.Itoa(seed), "--no-cpu", "--log", "all",
		"--report", file.Name(), "--why", "where credit goes")
	command.Dir = checkout
	out, err := command.CombinedOutput()
	if err != nil {
		return result, fmt.Errorf("%w: %s", err, out[max(len(out)-300, 0):])
	}
	text, err := os.ReadFile(file.Name())
	if err != nil {
		return result, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return result, err
	}
	s.owed(result, &r)
	s.read(result, out)
	return result, nil
}

// owed adds the bench's own counts.
func (s *site) owed(result split, r *report) {
	for _, reported := range r.Classes {
		for i := range s.Classes {
			if s.Classes[i].Name != reported.Name {
				continue
			}
			name := s.of(&line{Target: s.Classes[i].Target}).Name
			owed := float64(reported.Owed-reported.Not) * s.Classes[i].Worth
			result.owed[name] += owed
			result.lost[name] += owed * (1 - reported.Worth)
		}
	}
}

// read adds the losses of the requests in the nodes' logs.
func (s *site) read(result split, out []byte) {
	for text := range bytes.Lines(out) {
		at := bytes.IndexByte(text, '{')
		if at < 0 {
			continue
		}
		var l line
		if json.Unmarshal(bytes.TrimSpace(text[at:]), &l) != nil || l.Message != "request" {
			continue
		}
		if c := s.of(&l); c != nil {
			result.count(c, &l)
		}
	}
}
