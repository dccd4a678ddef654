package units

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Range defines how the values of a setting are parsed and formatted, and which values are allowed.
type Range[T cmp.Ordered] struct {
	Lowest, Highest T // inclusive

	parse  func(text string) (T, error)
	format func(value T) string
}

// Durations returns a range of durations.
func Durations(lowest, highest time.Duration) Range[time.Duration] {
	return Range[time.Duration]{Lowest: lowest, Highest: highest, parse: ParseDuration, format: FormatDuration}
}

// Sizes returns a range of byte sizes.
func Sizes(lowest, highest uint64) Range[uint64] {
	return Range[uint64]{Lowest: lowest, Highest: highest, parse: ParseBytes, format: FormatBytes}
}

// IntSizes returns a range of byte sizes stored as int.
func IntSizes(lowest, highest int) Range[int] {
	parse := func(text string) (int, error) {
		bytes, err := ParseBytes(text)
		return int(min(bytes, math.MaxInt)), err
	}
	format := func(bytes int) string { return FormatBytes(uint64(bytes)) }
	return Range[int]{Lowest: lowest, Highest: highest, parse: parse, format: format}
}

// Counts returns a range of integers without a unit.
func Counts(lowest, highest int) Range[int] {
	return Range[int]{Lowest: lowest, Highest: highest, parse: parseCount, format: strconv.Itoa}
}

// Numbers returns a range of numbers without a unit.
func Numbers(lowest, highest float64) Range[float64] {
	return Range[float64]{Lowest: lowest, Highest: highest, parse: parseNumber, format: formatNumber}
}

// Parse parses text as a value in the range.
func (r Range[T]) Parse(text string) (T, error) {
	value, err := r.parse(text)
	if err != nil {
		return value, err
	}
	if value < r.Lowest || value > r.Highest {
		return value, errors.Errorf("%s is out of range, it must be from %s", text, r)
	}
	return value, nil
}

// Format formats a value so that Parse returns it unchanged.
func (r Range[T]) Format(value T) string {
	return r.format(value)
}

// String returns the range as "lowest to highest".
func (r Range[T]) String() string {
	return r.format(r.Lowest) + " to " + r.format(r.Highest)
}

func parseCount(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, errors.Errorf("%q is no whole number", text)
	}
	return value, nil
}

func parseNumber(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) {
		return 0, errors.Errorf("%q is no number", text)
	}
	return value + 0, nil // turns -0 into 0
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}
