// Package security holds what callers, operators and nodes prove themselves
// with: API keys kept as digests in a file, and TLS configurations from
// certificate files. Both are reloaded without a restart, and a faulty file
// never replaces one that was good.
package security
