// Package security authenticates callers, operators and nodes: by API keys, which a
// file holds as digests, and by TLS configurations from certificate files. Both are
// reloaded without a restart. An invalid file never replaces valid contents that were
// read before.
package security
