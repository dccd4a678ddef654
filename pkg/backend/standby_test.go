package backend

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against calls that can't reach a busy server, which takes no more connections, though one was kept ready for them.
func TestStandbyConnectionReachesAServerThatTakesNoMore(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}
	d := &Directory{Dialer: dial}
	d.Replace([]*Server{{ID: "s", Service: "x", Address: listener.Addr().String()}}, 1)
	m := d.Snapshot().Member("s")
	m.PrepareStandby(t.Context(), hclog.NewNullLogger())
	m.PrepareStandby(t.Context(), hclog.NewNullLogger()) // needs no second one
	if open := m.pool.open; open != 1 {
		t.Errorf("%d connections are open, want 1", open)
	}
	_ = listener.Close()
	send := func(standby bool) error {
		message := &Message{Method: http.MethodGet, Target: "/", Head: []byte("Host: x\r\n"), Control: true, Standby: standby}
		a, err := m.Send(t.Context(), message, func() error { return nil })
		if err == nil {
			_, err = a.ReadControl()
			a.Close()
		}
		return err
	}
	if err := send(false); err == nil || !strings.Contains(err.Error(), "refused") {
		t.Errorf("an ordinary message: %v, want a refused connection", err)
	}
	if err := send(true); err != nil {
		t.Errorf("a message that may use the standby connection: %v", err)
	}
	m.PrepareStandby(t.Context(), hclog.NewNullLogger())
	_ = server.Close()
	if err := send(true); err == nil {
		t.Error("a message was answered by a server that is gone")
	}
}
