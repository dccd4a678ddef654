package lineage

import (
	"fmt"
	"testing"
	"time"
)

// seen is the versions of the servers of service "s" at a time in seconds; nil: it has none.
type seen struct {
	at       int64
	versions []string
}

func TestAVersionIsTakenForTheOnlyOne(t *testing.T) {
	one, other, both := []string{"v1"}, []string{"v2"}, []string{"v1", "v2"}
	for name, row := range map[string]struct {
		inherited  []SoleVersion
		firstStart bool
		seen       []seen
		software   string // empty: none serves alone
		served     time.Duration
	}{
		"first start":                         {nil, true, []seen{{100, one}, {105, one}}, "v1", Always},
		"first start, servers come later":     {nil, true, []seen{{100, nil}, {105, one}}, "v1", Always},
		"first start with two versions":       {nil, true, []seen{{100, both}, {105, one}, {108, one}}, "v1", 3 * time.Second},
		"nothing is known of before":          {nil, false, []seen{{100, one}, {105, one}}, "v1", 5 * time.Second},
		"a second version comes":              {nil, true, []seen{{100, one}, {105, both}}, "", 0},
		"the only version is replaced":        {nil, true, []seen{{100, one}, {101, other}, {104, other}}, "v2", 3 * time.Second},
		"an earlier holder saw it":            {[]SoleVersion{{"s", "v1", 0, 95_000}}, false, []seen{{100, one}}, "v1", Always},
		"an earlier holder saw it long ago":   {[]SoleVersion{{"s", "v1", 0, 80_000}}, false, []seen{{100, one}, {101, one}}, "v1", time.Second},
		"an earlier holder saw another one":   {[]SoleVersion{{"s", "v2", 0, 95_000}}, false, []seen{{100, one}, {101, one}}, "v1", time.Second},
		"nobody looks for a while":            {nil, true, []seen{{100, one}, {111, one}, {112, one}}, "v1", time.Second},
		"its servers are gone for a while":    {nil, true, []seen{{100, one}, {109, nil}, {118, one}}, "v1", Always},
		"its servers are gone, unseen":        {nil, true, []seen{{100, one}, {111, nil}, {112, one}}, "v1", 0},
		"both leave and the other comes back": {nil, true, []seen{{100, both}, {101, nil}, {102, other}, {103, other}}, "v2", time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var h VersionHistory
			h.Inherit(row.inherited, row.firstStart)
			for _, s := range row.seen {
				versions := map[string][]string{}
				if s.versions != nil {
					versions["s"] = s.versions
				}
				h.Observe(s.at*1000, versions)
			}
			sole := h.Sole()
			if row.software == "" {
				if len(sole) > 0 {
					t.Errorf("%+v", sole)
				}
				return
			}
			if len(sole) != 1 || sole[0].Software != row.software || sole[0].Served() != row.served {
				t.Errorf("%+v, want %s for %v", sole, row.software, row.served)
			}
		})
	}
}

func TestVersionsOfManyServicesFillTheRecord(t *testing.T) {
	var h VersionHistory
	versions := map[string][]string{}
	for i := range 1000 {
		versions[fmt.Sprintf("s-%d", i)] = []string{"v1"}
	}
	h.Observe(1, versions)
	if n := len(h.Sole()); n != maxSoleVersions {
		t.Errorf("%d services", n)
	}
}
