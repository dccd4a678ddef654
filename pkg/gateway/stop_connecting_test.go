package gateway

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// TestStopConnectingKeepsEstablished checks that a connection which is
// established but not yet accepted is kept, and that the next one is refused.
func TestStopConnectingKeepsEstablished(t *testing.T) {
	limited := newLimitedListener(listen(t), Config{}.withDefaults())
	address := limited.Addr().String()
	caller, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()

	var group conc.WaitGroup
	group.Go(func() {
		if err := limited.stopConnecting(); err != nil {
			t.Error(err)
		}
	})
	accepted, err := limited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	group.Wait()
	if _, err := net.Dial("tcp", address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the next connection failed with %v, want ECONNREFUSED", err)
	}
	_ = limited.Close()
	if _, err := limited.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close returns %v", err)
	}

	const answer = "stopping"
	_, _ = io.WriteString(accepted, answer)
	_ = accepted.Close()
	if received, err := io.ReadAll(caller); err != nil || string(received) != answer {
		t.Errorf("the caller received %q, error %v", received, err)
	}
}
