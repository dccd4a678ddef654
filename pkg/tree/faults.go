package tree

// faults are the keys of nodes that were refused before the tree was built.
type faults map[Path]map[string]bool

// note records that the key at path was refused.
func (f faults) note(path Path, key string) {
	if f[path] == nil {
		f[path] = make(map[string]bool)
	}
	f[path][key] = true
}

// hide tells whether a value refused at path or above may be the cause of what
// looks wrong with one of the keys at path.
func (f faults) hide(path Path, keys ...string) bool {
	for _, above := range path.ancestors() {
		for _, key := range keys {
			if f[above][key] {
				return true
			}
		}
	}
	return false
}
