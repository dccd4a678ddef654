// Package e2e contains end-to-end tests that run martenwheel and the stand-ins as separate
// processes on 127.0.0.1.
package e2e
