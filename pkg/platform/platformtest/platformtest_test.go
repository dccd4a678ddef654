package platformtest_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"martenwheel.dev/pkg/platform/dynamotable"
	"martenwheel.dev/pkg/platform/machinelist"
	"martenwheel.dev/pkg/platform/platformtest"
	"martenwheel.dev/pkg/platform/s3objects"
	"martenwheel.dev/pkg/standin"
)

// service is a platform stand-in behind a transport that can be disconnected.
type service struct {
	server    *standin.PlatformServer
	transport *http.Transport
	cut       atomic.Bool
}

func newService(t *testing.T, config standin.PlatformConfig) *service {
	t.Helper()
	server, err := standin.ListenPlatform("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s := &service{server: server}
	s.transport = &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if s.cut.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.New("no route")}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}}
	t.Cleanup(s.transport.CloseIdleConnections)
	return s
}

func (s *service) endpoint() string { return "http://" + s.server.Address() }

func (s *service) setFault(part string, fault platformtest.Fault) {
	s.cut.Store(fault == platformtest.Unreachable)
	if fault == platformtest.Unreachable {
		s.transport.CloseIdleConnections()
	}
	var faults standin.Faults
	switch fault {
	case platformtest.Refuse:
		faults.Refuse = true
	case platformtest.Hang:
		faults.Hang = true
	case platformtest.LoseRequest:
		faults.LoseRequests = 1
	case platformtest.LoseAnswer:
		faults.LoseAnswers = 1
	case platformtest.Throttle:
		faults.Throttle = true
	case platformtest.StaleReplica:
		faults.StaleReads = true
	}
	s.server.SetFaults(part, faults)
}

func unlimited() standin.PlatformConfig {
	config := standin.DefaultPlatformConfig()
	config.TableRequestsPerSecond = 0
	config.ObjectRequestsPerSecond = 0
	return config
}

func TestDynamoTableKeepsTheContract(t *testing.T) {
	platformtest.RunTableContract(t, func(t *testing.T) platformtest.TableFixture {
		s := newService(t, unlimited())
		return platformtest.TableFixture{
			Table: dynamotable.New(dynamotable.Config{
				Endpoint: s.endpoint(), Region: "uy-south", Table: "martenwheel", Partition: "test",
				AccessKey: "key", SecretKey: "secret", Transport: s.transport,
			}),
			SetFault: func(fault platformtest.Fault) { s.setFault(standin.PartTable, fault) },
		}
	})
}

func TestS3ObjectsKeepTheContract(t *testing.T) {
	platformtest.RunObjectsContract(t, func(t *testing.T) platformtest.ObjectsFixture {
		s := newService(t, unlimited())
		objects, err := s3objects.New(s3objects.Config{
			Endpoint: s.endpoint(), Region: "uy-south", Bucket: "martenwheel",
			AccessKey: "key", SecretKey: "secret", Transport: s.transport,
		})
		if err != nil {
			t.Fatal(err)
		}
		return platformtest.ObjectsFixture{
			Objects:  objects,
			SetFault: func(fault platformtest.Fault) { s.setFault(standin.PartObjects, fault) },
		}
	})
}

func TestMachineListKeepsTheContract(t *testing.T) {
	platformtest.RunMachinesContract(t, func(t *testing.T) platformtest.MachinesFixture {
		config := unlimited()
		config.MachineListLag = 0
		s := newService(t, config)
		return platformtest.MachinesFixture{
			Machines: machinelist.New(machinelist.Config{Endpoint: s.endpoint(), Transport: s.transport}),
			Put:      s.server.PutMachine,
			SetFault: func(fault platformtest.Fault) { s.setFault(standin.PartMachines, fault) },
		}
	})
}
