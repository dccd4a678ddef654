package quarantine

import (
	"strings"
	"testing"
)

// TestFingerprintTellsRequestsApart changes each part of a request and moves bytes from one part to
// the next. Each change must change the fingerprint.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := FingerprintOf("POST", "h", "/p/x", []byte("body"))
	if again := FingerprintOf("POST", "h", "/p/x", []byte("body")); again != base {
		t.Error("the same request has two fingerprints")
	}
	for name, other := range map[string]Fingerprint{
		"method": FingerprintOf("PUT", "h", "/p/x", []byte("body")),
		"host":   FingerprintOf("POST", "g", "/p/x", []byte("body")),
		"target": FingerprintOf("POST", "h", "/p/x?q", []byte("body")),
		"body":   FingerprintOf("POST", "h", "/p/x", []byte("bodies")),
		"border": FingerprintOf("POST", "h", "/p/", []byte("xbody")),
		"none":   FingerprintOf("", "", "", nil),
	} {
		if other == base {
			t.Errorf("another %s has the same fingerprint", name)
		}
	}
}

// FuzzParseFingerprint checks that any text that is parsed is formatted as the same text again.
func FuzzParseFingerprint(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff")
	f.Add("00112233445566778899AABBCCDDEEFF")
	f.Add("0011")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		print, err := ParseFingerprint(text)
		if err == nil && print.String() != strings.ToLower(text) {
			t.Errorf("%q was parsed as %s", text, print)
		}
	})
}

// BenchmarkFingerprint measures the cost per request, with a body of typical size.
func BenchmarkFingerprint(b *testing.B) {
	body := []byte(strings.Repeat("a", 2000))
	for b.Loop() {
		FingerprintOf("POST", "site.example", "/path/of/a/request", body)
	}
}
