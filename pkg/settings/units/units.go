// Package units parses and formats the quantities in settings: durations and byte sizes, which
// always carry a unit, and plain numbers.
package units

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// unit is a suffix of byte sizes and its number of bytes.
type unit struct {
	suffix string
	bytes  uint64
}

// byteUnits are in the order in which suffixes are tried; "B" is last because all other suffixes
// end in it.
var byteUnits = []unit{
	{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10},
	{"TB", 1e12}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3},
	{"B", 1},
}

// ParseDuration parses a duration such as "10m" or "1h30m". A number without a unit is an error,
// even zero.
func ParseDuration(text string) (time.Duration, error) {
	if isBareNumber(text) {
		return 0, errors.Errorf("%q has no unit, write for example %ss or %sm", text, text, text)
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, errors.Errorf("%q is no duration, write for example 500ms, 10s or 1h30m", text)
	}
	return duration, nil
}

// ParseBytes parses a byte size such as "16GiB", "1.5GiB" or "512B". A number without a unit is an
// error.
func ParseBytes(text string) (uint64, error) {
	if isBareNumber(text) {
		return 0, errors.Errorf("%q has no unit, write for example %sMiB or %sGiB", text, text, text)
	}
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		return multiply(text, strings.TrimSpace(digits), unit.bytes)
	}
	return 0, errors.Errorf("%q is no byte size, write for example 512MiB or 16GiB", text)
}

// multiply returns digits times unit; the result is exact if digits is an integer.
func multiply(text, digits string, unit uint64) (uint64, error) {
	if whole, err := strconv.ParseUint(digits, 10, 64); err == nil {
		if whole > math.MaxUint64/unit {
			return 0, errors.Errorf("%q is too large", text)
		}
		return whole * unit, nil
	}
	if !isBareNumber(digits) {
		return 0, errors.Errorf("%q is no byte size, write for example 512MiB or 16GiB", text)
	}
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil || number < 0 {
		return 0, errors.Errorf("%q is no byte size, write for example 512MiB or 16GiB", text)
	}
	bytes := number * float64(unit)
	if bytes >= math.MaxUint64 {
		return 0, errors.Errorf("%q is too large", text)
	}
	return uint64(bytes), nil
}

// FormatDuration formats a duration so that ParseDuration returns it unchanged, without trailing
// zero parts: "10m", not "10m0s".
func FormatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// FormatBytes formats a byte size exactly, in the largest binary unit that divides it.
func FormatBytes(bytes uint64) string {
	for _, unit := range byteUnits[:4] {
		if bytes != 0 && bytes%unit.bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/unit.bytes, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}

// isBareNumber reports whether text is a decimal number without a unit.
func isBareNumber(text string) bool {
	if text == "" {
		return false
	}
	trimmed := strings.TrimLeft(text, "+-")
	return strings.Trim(trimmed, "0123456789.") == "" && strings.ContainsAny(trimmed, "0123456789")
}
