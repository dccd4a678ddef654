package peer

import (
	"hash/fnv"
	"reflect"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// registry holds the message types by their names.
var registry = struct {
	sync.RWMutex
	byName map[string]reflect.Type
	byType map[reflect.Type]string
	recent map[string]bool // by name, see RegisterRecent
}{
	recent: make(map[string]bool),
	byName: make(map[string]reflect.Type),
	byType: make(map[reflect.Type]string),
}

// Register makes message types known, each by a value of it. The name on the
// wire is the package path and the name of the type, which must be a struct.
// Registering a type again changes nothing. Register is called before the
// first connection, as in an init function.
func Register(messages ...Message) {
	registry.Lock()
	defer registry.Unlock()
	for _, message := range messages {
		kind := reflect.TypeOf(message)
		if kind == nil || kind.Kind() != reflect.Struct || kind.Name() == "" {
			panic(errors.Errorf("peer: %T is no named struct", message))
		}
		name := kind.PkgPath() + "." + kind.Name()
		registry.byName[name] = kind
		registry.byType[kind] = name
	}
}

// RegisterRecent is Register for types that some builds lack which don't tell the types that they
// know.
func RegisterRecent(messages ...Message) {
	Register(messages...)
	registry.Lock()
	defer registry.Unlock()
	for _, message := range messages {
		registry.recent[registry.byType[reflect.TypeOf(message)]] = true
	}
}

// nameOf returns the registered name of a message's type.
func nameOf(message Message) (string, error) {
	registry.RLock()
	defer registry.RUnlock()
	name, known := registry.byType[reflect.TypeOf(message)]
	if !known {
		return "", errors.Errorf("peer: message type %T is not registered", message)
	}
	return name, nil
}

// typeOf returns the type registered under a name, nil if there is none.
func typeOf(name string) reflect.Type {
	registry.RLock()
	defer registry.RUnlock()
	return registry.byName[name]
}

// markOf is the short form of a type's name that hellos tell.
func markOf(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // never fails
	return sum.Sum32()
}

// registeredMarks returns the marks of all types.
func registeredMarks() []uint32 {
	registry.RLock()
	defer registry.RUnlock()
	marks := make([]uint32, 0, len(registry.byName))
	for name := range registry.byName {
		marks = append(marks, markOf(name))
	}
	slices.Sort(marks)
	return marks
}

// isRecent tells whether builds that don't tell their types may lack one.
func isRecent(name string) bool {
	registry.RLock()
	defer registry.RUnlock()
	return registry.recent[name]
}
