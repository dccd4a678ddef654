package e2e

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	namedTest    = regexp.MustCompile("`[^`]*?\\b((?:Test|Fuzz)[A-Z]\\w*)(\\*|\\.)?")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w*)\(`)
)

// TestProofsNameTestsThatExist checks that each test named in docs/PROOFS.md and docs/proofs
// exists. A name that ends in "*" or "." is a prefix.
func TestProofsNameTestsThatExist(t *testing.T) {
	declared := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declaredTest.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	pages, err := filepath.Glob("../docs/proofs/*.md")
	if err != nil || len(pages) == 0 {
		t.Fatalf("no pages of proofs: %v", err)
	}
	for _, page := range append(pages, "../docs/PROOFS.md") {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range namedTest.FindAllSubmatch(text, -1) {
			name, abbreviated := string(match[1]), len(match[2]) > 0
			if !declared[name] && !(abbreviated && anyHasPrefix(declared, name)) {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

func anyHasPrefix(names map[string]bool, prefix string) bool {
	for name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
