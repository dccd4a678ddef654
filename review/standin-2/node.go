package main

import (
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of a node, alike on all machines.
const (
	frontPort     = 8149
	readyPort     = 8141
	directoryPort = 8143
	firstInner    = 7380
	lastInner     = 7395
)

// settingsText is the settings of a node, as a format.
//
//go:embed settings.yaml
var settingsText string

// node is a node of the product, a process of its own on a loopback address of its own.
type node struct {
	name, ip, zone string
	path           string // of its settings
	command        *exec.Cmd
	done           chan struct{}
}

// site is the nodes of one script, and where they keep their files.
type site struct {
	store   string // address of the store
	folder  string // temporary
	fencing bool
	nodes   []*node
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// freeIP returns a loopback address of which all ports of a node are free.
func freeIP(taken map[string]bool) string {
	for n := os.Getpid() % 50000; ; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+n/(250*250)%100, 1+n/250%250, 1+n%250)
		if taken[ip] {
			continue
		}
		free := true
		for _, port := range []int{frontPort, readyPort, directoryPort, firstInner, lastInner} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			taken[ip] = true
			return ip
		}
	}
}

// start starts n nodes and waits until all are ready.
func (s *site) start(n int) error {
	taken := make(map[string]bool)
	for i := range n {
		zone := zones[i%len(zones)]
		p := &node{name: fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), ip: freeIP(taken), zone: zone}
		p.path = filepath.Join(s.folder, p.name+".yaml")
		s.nodes = append(s.nodes, p)
	}
	for _, p := range s.nodes {
		if err := s.write(p, true); err != nil {
			return err
		}
		if err := s.run(p); err != nil {
			return err
		}
	}
	for _, p := range s.nodes {
		if !eventually(20*time.Second, p.ready) {
			return fmt.Errorf("%s does not get ready", p.name)
		}
	}
	for _, p := range s.nodes { // as the platform does after the first start of the whole system
		if err := s.write(p, false); err != nil {
			return err
		}
	}
	return nil
}

// write writes the settings of a node.
func (s *site) write(p *node, first bool) error {
	text := fmt.Sprintf(settingsText, p.name, p.ip, p.zone, first, s.fencing, s.store)
	return os.WriteFile(p.path, []byte(text), 0o600)
}

// run starts the process of a node with the command of the deploy file.
func (s *site) run(p *node) error {
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	fields := strings.Fields(os.Getenv("NODE_COMMAND"))
	p.command = exec.Command(fields[0], fields[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire("settings variable") + "=" + p.path}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(p.command, p.done)
	return nil
}

// stop ends all processes.
func (s *site) stop() {
	for _, p := range s.nodes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// front is the address for callers.
func (p *node) front() string { return fmt.Sprintf("%s:%d", p.ip, frontPort) }

// ended reports whether the process of the node has ended.
func (p *node) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

var probes = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready checks the node's readiness as the platform does.
func (p *node) ready() bool {
	r, err := probes.Get(fmt.Sprintf("http://%s:%d%s", p.ip, readyPort, wire("readiness")))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// eventually waits until a condition holds, false if it does not within the given time.
func eventually(most time.Duration, condition func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
