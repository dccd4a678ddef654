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

// site is what is read of a site file.
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

// of returns the kind of request of a line, nil if it can't be told.
func (s *site) of(l *line) *class {
	for i := range s.Classes {
		if s.Classes[i].Target == l.Target {
			return &s.Classes[i]
		}
	}
	return nil
}

// report is what is read of the bench's report of a day.
type report struct {
	Classes []struct {
		Name  string  `json:"name"`
		Owed  int     `json:"n"`
		Not   int     `json:"not_owed"`
		Worth float64 `json:"worth"`
	} `json:"classes"`
}

// play plays a day and splits what it lost. Kinds of the same target stand
// together under the first one's name.
func (s *site) play(bench, checkout, day string, seed int) (split, error) {
	one := newSplit()
	file, err := os.CreateTemp("", "report")
	if err != nil {
		return one, err
	}
	_ = file.Close()
	defer os.Remove(file.Name())
	bench, err = filepath.Abs(bench)
	if err != nil {
		return one, err
	}
	command := exec.Command(bench, "run", s.path, day, "--seed", strconv.Itoa(seed), "--no-cpu", "--log", "all",
		"--report", file.Name(), "--why", "where credit goes")
	command.Dir = checkout
	out, err := command.CombinedOutput()
	if err != nil {
		return one, fmt.Errorf("%w: %s", err, out[max(len(out)-300, 0):])
	}
	text, err := os.ReadFile(file.Name())
	if err != nil {
		return one, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return one, err
	}
	s.owed(one, &r)
	s.read(one, out)
	return one, nil
}

// owed takes in the bench's own count.
func (s *site) owed(one split, r *report) {
	for _, told := range r.Classes {
		for i := range s.Classes {
			if s.Classes[i].Name != told.Name {
				continue
			}
			name := s.of(&line{Target: s.Classes[i].Target}).Name
			owed := float64(told.Owed-told.Not) * s.Classes[i].Worth
			one.owed[name] += owed
			one.lost[name] += owed * (1 - told.Worth)
		}
	}
}

// read counts the requests of the nodes' logs.
func (s *site) read(one split, out []byte) {
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
			one.count(c, &l)
		}
	}
}
