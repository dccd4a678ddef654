package gateway

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"
)

// Bits of the TCP header's flags, and where they are.
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// synFilter drops the first packet of a connection and lets all others pass.
var synFilter = []bpf.Instruction{
	bpf.LoadAbsolute{Off: tcpFlagsOffset, Size: 1},
	bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: tcpSYN | tcpACK},
	bpf.JumpIf{Cond: bpf.JumpEqual, Val: tcpSYN, SkipFalse: 1},
	bpf.RetConstant{Val: 0},
	bpf.RetConstant{Val: ^uint32(0)},
}

// stopConnecting makes the kernel ignore new attempts to connect to a listener.
// Closing a listener resets the connections that the kernel has completed and
// nobody has accepted; after stopConnecting there are none once the accept loop
// has caught up. A caller that tries meanwhile is refused when the listener
// closes, and knows that it sent nothing.
func stopConnecting(listener *net.TCPListener) error {
	assembled, err := bpf.Assemble(synFilter)
	if err != nil {
		return errors.Wrap(err, "gateway: assemble the filter of a stopping listener")
	}
	instructions := make([]unix.SockFilter, len(assembled))
	for i, raw := range assembled {
		instructions[i] = unix.SockFilter{Code: raw.Op, Jt: raw.Jt, Jf: raw.Jf, K: raw.K}
	}
	connection, err := listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "gateway: stopping listener")
	}
	program := &unix.SockFprog{Len: uint16(len(instructions)), Filter: &instructions[0]}
	var attachError error
	err = connection.Control(func(descriptor uintptr) {
		attachError = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil {
		return errors.Wrap(err, "gateway: stopping listener")
	}
	return errors.Wrap(attachError, "gateway: filter of a stopping listener")
}
