package tree

// refusedKeys holds the keys of nodes whose values were refused before the tree was built.
type refusedKeys map[Path]map[string]bool

// add records that the key at path was refused.
func (r refusedKeys) add(path Path, key string) {
	if r[path] == nil {
		r[path] = make(map[string]bool)
	}
	r[path][key] = true
}

// mayExplain reports whether a refused value at path or above may be the cause of a problem with one of the
// keys at path.
func (r refusedKeys) mayExplain(path Path, keys ...string) bool {
	for _, above := range path.ancestors() {
		for _, key := range keys {
			if r[above][key] {
				return true
			}
		}
	}
	return false
}
