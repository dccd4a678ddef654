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
	stream := &Run{Prompt: prompt.Parse(prompt.Fields{Tokens: "800,300"}), Out: 300}
	e.Add(stream)
	e.Advance(500 * time.Millisecond)
	if stream.First == 0 || stream.First > 120*time.Millisecond {
		t.Errorf("first event after %v", stream.First)
	}
	alone := stream.Pause
	e.Add(&Run{Prompt: long("a"), Out: 40, Arrives: 500 * time.Millisecond})
	e.Advance(5 * time.Second)
	if stream.Pause < 4*alone || stream.End == 0 {
		t.Errorf("longest pause %v beside a prompt, %v alone, end %v", stream.Pause, alone, stream.End)
	}
}

func TestSharedPartsAreReadOnce(t *testing.T) {
	e := &Engine{}
	first, second := &Run{Prompt: long("a"), Out: 6}, &Run{Prompt: long("b"), Out: 6, Arrives: time.Second}
	e.Add(first)
	e.Add(second)
	e.Advance(3 * time.Second)
	if e.Reused() != 6300 || e.Read() != 2*9200-6300 {
		t.Errorf("%d tokens reused, %d read", e.Reused(), e.Read())
	}
	if a, b := first.First-first.Arrives, second.First-second.Arrives; b > a/2 {
		t.Errorf("first event after %v with the parts kept, %v without", b, a)
	}
}

func TestMemoryBoundsWhatRuns(t *testing.T) {
	e := &Engine{CacheTokens: 30_000}
	for range 10 {
		e.Add(&Run{Prompt: long("a"), Out: 1000})
	}
	e.Advance(100 * time.Millisecond)
	if e.Running() != 2 || e.Waiting() != 8 {
		t.Errorf("%d run, %d wait", e.Running(), e.Waiting())
	}
}
