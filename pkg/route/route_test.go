package route

import "testing"

func table() *Table {
	one := []Part{{Service: "s", Weight: 1}}
	return NewTable(3, Limits{}, []*Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Parts: one},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Parts: one},
		{Name: "other", Host: "b.example", Prefix: "/x/", Parts: one},
	}, []*Service{{Name: "s"}})
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/x/", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Safe}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.r.Repeatable(); got != c.want {
			t.Errorf("%+v: Repeatable() = %t", c.r, got)
		}
	}
}

func TestSplitKeepsTheSharesOverFewRequests(t *testing.T) {
	var s Splitter
	r := &Route{Name: "r", Parts: []Part{{"a", 90}, {"b", 10}}}
	count := map[string]int{}
	for range 20 {
		count[s.Pick(r)]++
	}
	if count["a"] != 18 || count["b"] != 2 {
		t.Errorf("20 requests were distributed as %v, want 18 and 2", count)
	}
	changed := &Route{Name: "r", Parts: []Part{{"b", 1}, {"c", 0}}}
	for range 5 {
		if got := s.Pick(changed); got != "b" {
			t.Errorf("a part with weight zero got a request: %s", got)
		}
	}
}
