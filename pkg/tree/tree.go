package tree

// Tree is one immutable revision of the settings.
type Tree struct{}
