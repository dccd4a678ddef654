package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stopTimeout is the timeout of a graceful shutdown.
const stopTimeout = 30 * time.Second

const (
	parallelFlag        = "test.parallel"
	maxParallelClusters = "4"
)

// programs is the directory of the executables under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "martenwheel-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory, "martenwheel.dev/cmd/martenwheel", "martenwheel.dev/cmd/martenwheel-standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	programs = directory
	limitParallel()
	return m.Run()
}

// limitParallel sets the number of clusters that run in parallel, unless the flag is given.
func limitParallel() {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == parallelFlag })
	if !given {
		_ = flag.Set(parallelFlag, maxParallelClusters) // can't fail: the testing package defines the flag
	}
}

// process is a running program that has printed its addresses on stdout.
type process struct {
	command *exec.Cmd
	logs    *logBuffer
	exited  chan struct{}
}

// start runs a program, waits for its first line on stdout and decodes it into
// announcement. The process is killed at the end of the test.
func start(t *testing.T, announcement any, program string, arguments ...string) *process {
	t.Helper()
	p := &process{
		command: exec.Command(filepath.Join(programs, program), arguments...),
		logs:    &logBuffer{},
		exited:  make(chan struct{}),
	}
	p.command.Stderr = p.logs
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s %v:\n%s", program, arguments, p.logs)
		}
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err != nil {
		t.Fatalf("%s %v printed no address: %v\n%s", program, arguments, err, p.logs)
	}
	if err := json.Unmarshal(line, announcement); err != nil {
		t.Fatalf("%s printed %q: %v", program, line, err)
	}
	go func() {
		_ = p.command.Wait() // ignored: ProcessState holds the exit status
		close(p.exited)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // ignored: the process may have exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM and waits until the process has exited.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		t.Errorf("%s did not stop within %s", p.command.Path, stopTimeout)
	}
}

// logLine is one line of a program's log.
type logLine map[string]any

// lines returns the log so far. Every line must be a JSON object.
func (p *process) lines(t *testing.T) []logLine {
	t.Helper()
	var lines []logLine
	for _, text := range bytes.Split(p.logs.Bytes(), []byte{'\n'}) {
		if len(text) == 0 {
			continue
		}
		var line logLine
		if err := json.Unmarshal(text, &line); err != nil {
			t.Errorf("log line is not a JSON object: %q", text)
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

// logBuffer collects the stderr output of a process.
type logBuffer struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.Write(data)
}

// Bytes returns a copy of the output up to the last complete line.
func (b *logBuffer) Bytes() []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	data := bytes.Clone(b.data.Bytes())
	return data[:bytes.LastIndexByte(data, '\n')+1]
}

// String returns the output up to the last complete line.
func (b *logBuffer) String() string {
	return string(b.Bytes())
}
