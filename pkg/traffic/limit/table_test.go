package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// propertySeed makes the property tests reproducible.
const propertySeed = 1407

func TestRatesAreNeverExceeded(t *testing.T) {
	const requestRate, tokenRate = 5.0, 100.0
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	properties := gopter.NewProperties(parameters)
	properties.Property("at most the rate and one second's burst, and RetryAfter is true", prop.ForAll(
		func(gaps []int) bool {
			table := NewTable(100)
			key := Key{Scope: ScopeCaller, Name: "c", Rates: Rates{Requests: requestRate, Tokens: tokenRate}}
			start := time.Unix(0, 0)
			now := start
			requests, tokens := 0.0, 0.0
			for _, gap := range gaps {
				now = now.Add(time.Duration(gap) * time.Millisecond)
				delay, allowed := table.Take(now, key, gap)
				if !allowed {
					now = now.Add(delay)
					_, allowed = table.Take(now, key, gap)
				}
				if !allowed {
					return false
				}
				requests++
				tokens += float64(min(gap, int(tokenRate)))
				passed := now.Sub(start).Seconds() + 1.001
				if requests > passed*requestRate || tokens > passed*tokenRate {
					return false
				}
			}
			return true
		}, gen.SliceOfN(50, gen.IntRange(0, 150))))
	if !properties.Run(gopter.ConsoleReporter(false)) {
		t.Errorf("seed %d", propertySeed)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable(1000)
	for index := range 20_000 {
		table.Take(time.Unix(0, 0), Key{Name: fmt.Sprint(index), Rates: Rates{Requests: 1}}, 1)
	}
	if held := table.Len(); held > 1000 {
		t.Errorf("%d buckets held, want at most 1000", held)
	}
}

func TestUnlimitedTakesNoBucket(t *testing.T) {
	table := NewTable(1000)
	if _, allowed := table.Take(time.Unix(0, 0), Key{Name: "c"}, 1<<30); !allowed || table.Len() != 0 {
		t.Errorf("allowed: %t with %d buckets, want true with none", allowed, table.Len())
	}
}
