// Command standin runs one case of the review: it starts the stand-ins and the nodes of a small site, sends requests
// and checks a rule. Usage: standin CASE DIR, with the repository's root as the working directory. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// site is what all cases share.
type site struct {
	root, dir string
	record    *record
	store     *store
	trouble   bool

	mu    sync.Mutex // guards the start and the end of nodes
	nodes []*node
}

// cases are the cases by name.
var cases = map[string]func(s *site) (int, error){
	"retired-models": retiredModels,
}

func main() { os.Exit(run()) }

// run runs the case and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIR")
		return couldNot
	}
	root, err := os.Getwd()
	if err != nil {
		return failed(err)
	}
	s := &site{root: root, trouble: os.Getenv("TROUBLE") != "0"}
	if s.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return failed(err)
	}
	defer os.RemoveAll(s.dir)
	if s.record, err = openRecord(filepath.Join(os.Args[2], "record.txt")); err != nil {
		return failed(err)
	}
	if s.store, err = startStore(); err != nil {
		return failed(err)
	}
	defer s.endNodes()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(longest):
			fmt.Fprintln(os.Stderr, "the case takes too long")
		}
		s.endNodes()
		_ = os.RemoveAll(s.dir)
		os.Exit(couldNot)
	}()
	code, err := cases[os.Args[1]](s)
	if err != nil {
		s.record.line("the case couldn't run: %v", err)
		return failed(err)
	}
	s.record.line("TROUBLE=%t, exit %d", s.trouble, code)
	return code
}

// failed tells why the case couldn't run.
func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return couldNot
}

// endNodes ends all nodes.
func (s *site) endNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		n.kill()
	}
}

// startNodes starts the nodes, one in each of the zones, and waits until all are ready.
func (s *site) startNodes(fenced bool, zones ...string) error {
	for i, zone := range zones {
		n, err := newNode(s.dir, i+1, zone, s.store.address, fenced)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.nodes = append(s.nodes, n)
		err = n.start(s.root)
		s.mu.Unlock()
		if err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // the lease is held and the nodes know each other
	return nil
}

// limits are the limits of the configuration.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
