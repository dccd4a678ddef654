// Package e2e holds the tests that run martenwheel and the stand-ins as
// separate processes on 127.0.0.1.
package e2e
