package main

import (
	_ "embed"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// settingsText is the settings file of a node, with the figures of a small deployment.
//
//go:embed node.yaml
var settingsText string

// ports are the ports that all nodes listen on, each at its own loopback address.
type ports struct{ front, ready, directory, first, last int }

// node is a process of the system under test.
type node struct {
	name, ip, zone string
	ports          ports
	settings       string
	logs           string
	command        *exec.Cmd
	ended          chan struct{}
}

// freeIP returns a loopback address at which the ports of a node are free.
func freeIP(n int, p ports) (string, error) {
	for i := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+i, 1+n)
		free := true
		for _, port := range []int{p.front, p.ready, p.directory, p.first, p.last} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

// newNode writes the settings of a node.
func newNode(dir string, number int, zone, storeAddress string, fenced bool) (*node, error) {
	p := ports{front: 8149, ready: 8141, directory: 8143, first: 7380, last: 7395}
	ip, err := freeIP(number, p)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("front-%s-%d", zone, number), ip: ip, zone: zone, ports: p}
	n.settings = filepath.Join(dir, n.name+".yaml")
	n.logs = filepath.Join(dir, n.name+".log")
	text := fmt.Sprintf(settingsText, n.name, ip, storeAddress, zone, p.front, p.ready, p.directory, p.first, p.last, true, fenced)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start(root string) error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	n.command = exec.Command("target/martenwheel", "node")
	n.command.Dir = root
	n.command.Env = []string{wire("settings variable") + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.command.Stdout, n.command.Stderr = logs, logs
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(n.command, n.ended)
	return nil
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Kill()
	<-n.ended
}

// front is the address for clients.
func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, n.ports.front) }

// awaitReady waits until the node is ready.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d%s", n.ip, n.ports.ready, wire("readiness")))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}
