package peer

import (
	"net"
	"testing"
)

// Guards against connections without a hello that take more descriptors than they may, or keep nodes out.
func TestSilentConnectionsGiveWayToNodes(t *testing.T) {
	const limit, crowd = 4, 40
	config := testConfig("server")
	config.Limits.Hellos = limit
	server := startTestServer(t, config, newRecorder())
	address := server.Self().PeerAddress
	for range crowd {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	client := startTestClient(t, testConfig("client"))
	if _, err := client.Call(t.Context(), address, testQuestion{Text: "x"}); err != nil {
		t.Errorf("call beside a crowd: %v", err)
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if len(server.silent) > limit {
		t.Errorf("%d connections without a hello", len(server.silent))
	}
}

// Guards against nodes that are turned away when all connect at once.
func TestNodesThatConnectAtOnceAreServed(t *testing.T) {
	const limit, nodes = 4, 60
	config := testConfig("server")
	config.Limits.Hellos = limit
	server := startTestServer(t, config, newRecorder())
	answered := make(chan error)
	for range nodes {
		client := startTestClient(t, testConfig("client"))
		go func() {
			_, err := client.Call(t.Context(), server.Self().PeerAddress, testQuestion{Text: "x"})
			answered <- err
		}()
	}
	for range nodes {
		if err := <-answered; err != nil {
			t.Error(err)
		}
	}
}
