package prompt

import "testing"

func TestParseTellsCountsAndSharedParts(t *testing.T) {
	p := Parse(Fields{Tokens: "1460,80", Parts: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", Likely: "30"})
	if p.Tokens() != 1460 || p.Most() != 80 || p.Likely() != 30 {
		t.Errorf("%d in, %d out, likely %d", p.Tokens(), p.Most(), p.Likely())
	}
	if p.SharedTokens() != 1210 || p.SharedID() != "91bd3f06" {
		t.Errorf("%d shared, last %q", p.SharedTokens(), p.SharedID())
	}
}

func TestParseOfWhatCantBeRead(t *testing.T) {
	for _, f := range []Fields{
		{},
		{Tokens: "x,y", Parts: "a:1,b", Likely: "-3"},
		{Tokens: "99999999999999,1e9", Parts: ":4,b:2"},
		{Parts: "a:0,b:1"}, {Parts: "a:1,,b:1"}, {Parts: "alone:7"},
	} {
		p := Parse(f)
		if p.Tokens() != 0 || p.Most() != 0 || p.Likely() != 0 || p.SharedTokens() != 0 || p.SharedID() != "" {
			t.Errorf("%+v told %+v", f, p)
		}
	}
}

func TestTheCallersGuessIsNoMoreThanTheMost(t *testing.T) {
	if p := Parse(Fields{Tokens: "10,80", Likely: "500"}); p.Likely() != 80 {
		t.Errorf("likely %d of at most 80", p.Likely())
	}
	if p := Parse(Fields{Tokens: "10,80"}); p.Likely() != 80 {
		t.Errorf("likely %d without a guess, want the most", p.Likely())
	}
}

func FuzzParse(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410", "30")
	f.Add(",", "::,:", "")
	f.Fuzz(func(t *testing.T, tokens, parts, likely string) {
		p := Parse(Fields{tokens, parts, likely})
		if p.Tokens() < 0 || p.Most() < 0 || p.Likely() < 0 || p.SharedTokens() < 0 {
			t.Errorf("below zero: %+v", p)
		}
	})
}
