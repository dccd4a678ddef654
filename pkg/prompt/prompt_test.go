package prompt

import (
	"slices"
	"testing"
)

func TestParseTellsCountsAndSharedParts(t *testing.T) {
	p := Parse(Fields{Tokens: "1460,80", Parts: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", ExpectedOutput: "30"})
	if p.Tokens() != 1460 || p.MaxOutput() != 80 || p.ExpectedOutput() != 30 {
		t.Errorf("%d prompt tokens, at most %d output tokens, %d expected", p.Tokens(), p.MaxOutput(), p.ExpectedOutput())
	}
	if p.SharedTokens() != 1210 || p.SharedID() != "91bd3f06" {
		t.Errorf("%d shared tokens, last shared part %q", p.SharedTokens(), p.SharedID())
	}
}

func TestParseIgnoresInvalidFields(t *testing.T) {
	for _, f := range []Fields{
		{},
		{Tokens: "x,y", Parts: "a:1,b", ExpectedOutput: "-3"},
		{Tokens: "99999999999999,1e9", Parts: ":4,b:2"},
		{Parts: "a:0,b:1"}, {Parts: "a:1,,b:1"}, {Parts: "alone:7"},
	} {
		p := Parse(f)
		if p.Tokens() != 0 || p.MaxOutput() != 0 || p.ExpectedOutput() != 0 || p.SharedTokens() != 0 || p.SharedID() != "" {
			t.Errorf("%+v parsed as %+v, want everything unknown", f, p)
		}
	}
}

func TestExpectedOutputIsBoundedByTheMaximum(t *testing.T) {
	if p := Parse(Fields{Tokens: "10,80", ExpectedOutput: "500"}); p.ExpectedOutput() != 80 {
		t.Errorf("%d tokens expected, want the maximum of 80", p.ExpectedOutput())
	}
	if p := Parse(Fields{Tokens: "10,80"}); p.ExpectedOutput() != 80 {
		t.Errorf("%d tokens expected without an estimate, want the maximum of 80", p.ExpectedOutput())
	}
}

func FuzzParse(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410", "30")
	f.Add(",", "::,:", "")
	f.Fuzz(func(t *testing.T, tokens, parts, likely string) {
		p := Parse(Fields{tokens, parts, likely})
		if p.Tokens() < 0 || p.MaxOutput() < 0 || p.ExpectedOutput() < 0 || p.SharedTokens() < 0 {
			t.Errorf("negative count: %+v", p)
		}
	})
}

func TestSharedIDsNamePartsTwiceOrTheLastOne(t *testing.T) {
	for parts, want := range map[string][]string{
		"a:1,b:2,own:3": {"a", "b"}, "a:1,b:2,a:1,own:3": {"a", "b"}, "own:3": nil, "a:1,,own:3": nil, "": nil,
	} {
		p := Parse(Fields{Parts: parts})
		if got := p.SharedIDs(); !slices.Equal(got, want) {
			t.Errorf("%q has the shared parts %q, want %q", parts, got, want)
		}
	}
}
