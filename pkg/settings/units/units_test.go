package units

import (
	"testing"
	"time"
)

func TestParseBytes(t *testing.T) {
	cases := map[string]uint64{
		"0B": 0, "512B": 512, "1KiB": 1 << 10, "16GiB": 16 << 30, "1.5GiB": 3 << 29, "2 GB": 2e9, "3TiB": 3 << 40, "10kB": 10_000,
	}
	for text, want := range cases {
		if got, err := ParseBytes(text); err != nil || got != want {
			t.Errorf("%q: got %d, %v, want %d", text, got, err, want)
		}
	}
	for _, text := range []string{"", "16", "0", "-1GiB", "GiB", "1e3GiB", "16G", "NaNGiB", "99999999999TiB", "1.2.3MiB", "0x10MiB", "16gib"} {
		if got, err := ParseBytes(text); err == nil {
			t.Errorf("%q: got %d, want an error", text, got)
		}
	}
}

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{"10m": 10 * time.Minute, "1h30m": 90 * time.Minute, "500ms": 500 * time.Millisecond, "0s": 0} {
		if got, err := ParseDuration(text); err != nil || got != want {
			t.Errorf("%q: got %s, %v, want %s", text, got, err, want)
		}
	}
	for _, text := range []string{"", "10", "0", "+5", "1.5", "10 m", "m", "10d"} {
		if got, err := ParseDuration(text); err == nil {
			t.Errorf("%q: got %s, want an error", text, got)
		}
	}
}

func TestFormattedValuesAreReadBack(t *testing.T) {
	for _, duration := range []time.Duration{0, time.Nanosecond, time.Minute, time.Hour, 90 * time.Minute, time.Hour + time.Second, 36 * time.Hour, 100 * time.Millisecond} {
		if got, err := ParseDuration(FormatDuration(duration)); err != nil || got != duration {
			t.Errorf("%s is formatted as %q and parsed as %s, %v", duration, FormatDuration(duration), got, err)
		}
	}
	for _, bytes := range []uint64{0, 1, 1023, 1024, 1 << 20, 3 << 29, 1<<64 - 1} {
		if got, err := ParseBytes(FormatBytes(bytes)); err != nil || got != bytes {
			t.Errorf("%d is formatted as %q and parsed as %d, %v", bytes, FormatBytes(bytes), got, err)
		}
	}
	if text := FormatDuration(10 * time.Minute); text != "10m" {
		t.Errorf("10m is formatted as %q", text)
	}
}

func TestRangesAreInclusive(t *testing.T) {
	if _, err := Counts(1, 5).Parse("5"); err != nil {
		t.Error(err)
	}
	for _, text := range []string{"0", "6", "x", "1.0"} {
		if _, err := Counts(1, 5).Parse(text); err == nil {
			t.Errorf("%q is accepted as a count from 1 to 5", text)
		}
	}
	for _, text := range []string{"NaN", "Inf", "-0.1", "1.1", ""} {
		if _, err := Numbers(0, 1).Parse(text); err == nil {
			t.Errorf("%q is accepted as a number from 0 to 1", text)
		}
	}
	if value, err := Numbers(0, 1).Parse("-0"); err != nil || Numbers(0, 1).Format(value) != "0" {
		t.Errorf("-0 is parsed as %v, %v", value, err)
	}
}
