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

// stopBound is the longest that a process may take for a planned stop.
const stopBound = 30 * time.Second

const (
	parallelFlag   = "test.parallel"
	clustersAtOnce = "4"
)

// programs is the directory of the programs under test.
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

// limitParallel lets a few clusters run at once, unless a flag says otherwise.
func limitParallel() {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == parallelFlag })
	if !given {
		_ = flag.Set(parallelFlag, clustersAtOnce) // the testing package defines it
	}
}

// process is a running program that printed its addresses on stdout.
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
		_ = p.command.Wait() // the state tells how it ended
		close(p.exited)
	}()
	return p
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal) // it may have ended
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a planned stop and waits for its end.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(stopBound):
		t.Errorf("%s did not stop within %s", p.command.Path, stopBound)
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
			t.Errorf("log line is no JSON object: %q", text)
			continue
		}
		lines = append(lines, line)
	}
	return lines
}

// logBuffer collects what a process writes.
type logBuffer struct {
	mutex sync.Mutex
	data  bytes.Buffer
}

func (b *logBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.data.Write(data)
}

// Bytes returns a copy of what was written, up to the last whole line.
func (b *logBuffer) Bytes() []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	data := bytes.Clone(b.data.Bytes())
	return data[:bytes.LastIndexByte(data, '\n')+1]
}

// String returns what was written.
func (b *logBuffer) String() string {
	return string(b.Bytes())
}
