// Package tunnel connects a node to servers through another node while its own way to them is broken:
// connections hang, are refused or are reset although the servers are sound.
//
// reach.go decides what the node believes about its own ways; dialer.go connects directly and, if that is
// late or fails, through other nodes; helper.go connects to a server for another node. A tunnel carries
// bytes both ways without reading them, so that requests are still counted, limited and answered for by the
// node that took them.
package tunnel
