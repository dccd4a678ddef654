package enginetest

import (
	"testing"
	"time"

	"martenwheel.dev/pkg/prompt"
)

func long(id string) prompt.Prompt {
	return prompt.Parse(prompt.Fields{Tokens: "9200,40", Parts: "common:2500,session:3800," + id + ":2900"})
}

func TestPromptsAreReadBetweenTheTokensOfOthers(t *testing.T) {
	e := &Engine{Speed: 0.55}
	stream := &Run{Prompt: prompt.Parse(prompt.Fields{Tokens: "800,300"}), OutputTokens: 300}
	e.Add(stream)
	e.Advance(500 * time.Millisecond)
	if stream.FirstEvent == 0 || stream.FirstEvent > 120*time.Millisecond {
		t.Errorf("first event after %v, want at most 120ms", stream.FirstEvent)
	}
	alone := stream.LongestPause
	e.Add(&Run{Prompt: long("a"), OutputTokens: 40, ArrivesAt: 500 * time.Millisecond})
	e.Advance(5 * time.Second)
	if stream.LongestPause < 4*alone || stream.End == 0 {
		t.Errorf("longest pause %v during another prompt's prefill, %v without it, end %v", stream.LongestPause, alone, stream.End)
	}
}

func TestSharedPartsAreReadOnce(t *testing.T) {
	e := &Engine{}
	first, second := &Run{Prompt: long("a"), OutputTokens: 6}, &Run{Prompt: long("b"), OutputTokens: 6, ArrivesAt: time.Second}
	e.Add(first)
	e.Add(second)
	e.Advance(3 * time.Second)
	if e.TokensReused() != 6300 || e.TokensRead() != 2*9200-6300 {
		t.Errorf("%d tokens reused, %d prefilled", e.TokensReused(), e.TokensRead())
	}
	if a, b := first.FirstEvent-first.ArrivesAt, second.FirstEvent-second.ArrivesAt; b > a/2 {
		t.Errorf("first event after %v with cached parts, %v without", b, a)
	}
}

func TestMemoryBoundsWhatRuns(t *testing.T) {
	e := &Engine{CacheTokens: 30_000}
	for range 10 {
		e.Add(&Run{Prompt: long("a"), OutputTokens: 1000})
	}
	e.Advance(100 * time.Millisecond)
	if e.Running() != 2 || e.Waiting() != 8 {
		t.Errorf("%d run, %d wait", e.Running(), e.Waiting())
	}
}
