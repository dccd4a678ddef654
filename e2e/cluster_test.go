package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/platform"
	"martenwheel.dev/pkg/standin"
)

const (
	region      = "uy-south"
	service     = "assistant"
	anyPort     = "127.0.0.1:0"
	speed       = "10" // simulated seconds per second, in the stand-ins
	engineBytes = 16 << 30
	waitTimeout = 30 * time.Second
	waitPoll    = 20 * time.Millisecond
)

// zones lists the cluster's zones; each has one node and one engine.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// siteTree is the initial settings tree of the cluster.
const siteTree = `keep_alive: 1h
prewarm: false
load_time: 1s
services:
  assistant:
    deadline: 20s
    families:
      llama:
        models:
          glaze-7b:
            memory: 4GiB
            adapters:
              studio-3: {memory: 128MiB}
          firing-13b: {memory: 8GiB}
`

// standinAddress is the line that a stand-in prints on stdout when it is ready.
type standinAddress struct {
	Address string `json:"address"`
}

// nodeAddresses is the line that a node prints on stdout when it listens.
type nodeAddresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

// engineProcess is a running stand-in for an engine.
type engineProcess struct {
	*process
	standinAddress
	id api.ServerID
}

// nodeProcess is a running node.
type nodeProcess struct {
	*process
	nodeAddresses
	id api.NodeID
}

// cluster is a simulated platform with three engines and three nodes.
type cluster struct {
	options
	platform        *process
	platformAddress string
	engines         []*engineProcess
	nodes           []*nodeProcess
}

// options configure the cluster of a test. The zero value is the default cluster.
type options struct {
	tree        string   // replaces siteTree, unless empty
	engineFlags []string // command-line flags for all engines
	// settings returns additional settings of a node, as lines of YAML.
	settings func(id api.NodeID) string
	operator *operatorAccess // nil: plain HTTP without a key
}

// operatorAccess holds an operator's credentials.
type operatorAccess struct {
	client *http.Client
	key    string
	flags  []string // command-line flags of martenwheel commands
}

// startCluster starts all processes, commits the tree and waits until every node has applied it.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	return startClusterWith(t, options{})
}

func startClusterWith(t *testing.T, opts options) *cluster {
	t.Helper()
	c := &cluster{options: opts}
	var announced standinAddress
	c.platform = start(t, &announced, "martenwheel-standin", "platform", "--speed", speed, "--machine-lag", "500ms")
	c.platformAddress = announced.Address
	for _, zone := range zones {
		c.engines = append(c.engines, c.startEngine(t, zone, anyPort))
	}
	for _, zone := range zones {
		c.nodes = append(c.nodes, c.startNode(t, zone))
	}
	c.waitReady(t)
	if c.tree == "" {
		c.tree = siteTree
	}
	c.applyTree(t, c.tree)
	for _, node := range c.nodes {
		waitFor(t, "the tree is applied on "+string(node.id), func() bool { return c.status(t, node).TreeRevision > 0 })
	}
	return c
}

func (c *cluster) startEngine(t *testing.T, zone, listen string) *engineProcess {
	t.Helper()
	e := &engineProcess{id: api.ServerID("server-" + zone)}
	arguments := []string{"engine", "--listen", listen,
		"--id", string(e.id), "--service", service, "--zone", zone, "--region", region,
		"--platform", c.platformAddress, "--speed", speed, "--memory", strconv.Itoa(engineBytes)}
	e.process = start(t, &e.standinAddress, "martenwheel-standin", append(arguments, c.engineFlags...)...)
	return e
}

// startNode starts a node that is configured by a settings file and by flags.
func (c *cluster) startNode(t *testing.T, zone string) *nodeProcess {
	t.Helper()
	base := "http://" + c.platformAddress
	file := filepath.Join(t.TempDir(), "node.yaml")
	content := fmt.Sprintf(`node: {region: %s, zone: %s}
platform:
  table: {endpoint: %q}
  objects: {endpoint: %q}
  machines: {endpoint: %q}
drain_time: 10s
`, region, zone, base, base, base)
	for i, other := range c.nodes {
		if i == 0 {
			content += "seeds:\n"
		}
		content += fmt.Sprintf("- %q\n", other.Peers)
	}
	n := &nodeProcess{id: api.NodeID("node-" + zone)}
	if c.settings != nil {
		content += c.settings(n.id)
	}
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = start(t, &n.nodeAddresses, "martenwheel", "node", "--settings", file, "--node-id", string(n.id),
		"--listen-callers", anyPort, "--listen-operators", anyPort, "--listen-peers", anyPort)
	return n
}

// replaceNode starts a new process in place of a node that exited, and waits until it is ready.
func (c *cluster) replaceNode(t *testing.T, old *nodeProcess) *nodeProcess {
	t.Helper()
	index := slices.Index(c.nodes, old)
	c.nodes = slices.Delete(slices.Clone(c.nodes), index, index+1)
	replacement := c.startNode(t, zones[index])
	c.nodes = slices.Insert(c.nodes, index, replacement)
	waitFor(t, string(replacement.id)+" is ready again", func() bool { return c.ready(replacement) })
	return replacement
}

// operatorURL returns the URL of a node's operator API.
func (c *cluster) operatorURL(node *nodeProcess) string {
	if c.operator == nil {
		return "http://" + node.Operators
	}
	return "https://" + node.Operators
}

// operatorClient returns a client for a node's operator API.
func (c *cluster) operatorClient(node *nodeProcess) *operator.Client {
	if c.operator == nil {
		return operator.NewClient(c.operatorURL(node), "", http.DefaultClient)
	}
	return operator.NewClient(c.operatorURL(node), c.operator.key, c.operator.client)
}

// waitReady waits until all nodes report that they are ready.
func (c *cluster) waitReady(t *testing.T) {
	t.Helper()
	for _, node := range c.nodes {
		waitFor(t, string(node.id)+" is ready", func() bool { return c.ready(node) })
	}
}

// ready reports whether a node's readiness check succeeds.
func (c *cluster) ready(node *nodeProcess) bool {
	client := http.DefaultClient
	if c.operator != nil {
		client = c.operator.client
	}
	response, err := client.Get(c.operatorURL(node) + operator.PathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// command runs a martenwheel command against a node and returns its output.
func (c *cluster) command(t *testing.T, node *nodeProcess, arguments ...string) (string, error) {
	t.Helper()
	arguments = append(arguments, "--address", c.operatorURL(node))
	if c.operator != nil {
		arguments = append(arguments, c.operator.flags...)
	}
	output, err := exec.Command(filepath.Join(programs, "martenwheel"), arguments...).CombinedOutput()
	return string(output), err
}

// applyTree commits a tree with the tree apply command.
func (c *cluster) applyTree(t *testing.T, text string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "tree.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if output, err := c.command(t, c.nodes[0], "tree", "apply", file); err != nil {
		t.Fatalf("tree apply: %v\n%s", err, output)
	}
}

// setTree changes one setting with the tree set command.
func (c *cluster) setTree(t *testing.T, path, setting string) {
	t.Helper()
	if output, err := c.command(t, c.nodes[0], "tree", "set", path, setting); err != nil {
		t.Fatalf("tree set: %v\n%s", err, output)
	}
}

// status returns a node's view of the system.
func (c *cluster) status(t *testing.T, node *nodeProcess) operator.Status {
	t.Helper()
	status, err := c.operatorClient(node).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// replicas counts the replicas of a model in a node's view, in any state.
func (c *cluster) replicas(t *testing.T, node *nodeProcess, model api.ModelName) int {
	t.Helper()
	count := 0
	for _, replica := range c.status(t, node).Replicas {
		if replica.Model == model {
			count++
		}
	}
	return count
}

// setFaults configures the faults that one part of a stand-in injects.
func setFaults(t *testing.T, address, part string, faults standin.Faults) {
	t.Helper()
	body, err := json.Marshal(map[string]standin.Faults{part: faults})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+address+standin.PathFaults, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("set faults: %s", response.Status)
	}
}

// waitFor polls until condition holds and fails the test after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(waitPoll) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, description)
		}
	}
}

// setMachineState changes the platform's entry of an engine's machine.
func (c *cluster) setMachineState(t *testing.T, e *engineProcess, state platform.MachineState) {
	t.Helper()
	body, err := json.Marshal(platform.Machine{
		ID: string(e.id), Address: e.Address, Service: service, Region: region,
		State: state, MemoryBytes: engineBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+c.platformAddress+standin.PathMachineChanges, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("change the machine's entry: %s", response.Status)
	}
}
