package peer

import (
	"hash/fnv"
	"reflect"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// registry holds the registered message types.
var registry = struct {
	sync.RWMutex
	byName map[string]reflect.Type
	byType map[reflect.Type]string
	recent map[string]bool // names of the types of RegisterRecent
}{
	recent: make(map[string]bool),
	byName: make(map[string]reflect.Type),
	byType: make(map[reflect.Type]string),
}

// Register registers message types, each given by a value of it. Its name on the
// wire is the package path and the name of the type, which must be a struct.
// Registering a type again has no effect. Register must be called before the
// first connection, for example in an init function.
func Register(messages ...Message) {
	registry.Lock()
	defer registry.Unlock()
	for _, message := range messages {
		kind := reflect.TypeOf(message)
		if kind == nil || kind.Kind() != reflect.Struct || kind.Name() == "" {
			panic(errors.Errorf("peer: %T is not a named struct", message))
		}
		name := kind.PkgPath() + "." + kind.Name()
		registry.byName[name] = kind
		registry.byType[kind] = name
	}
}

// RegisterRecent is like Register, for types that are unknown to some builds which do not send
// their known types in the hello.
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

// typeOf returns the type registered under a name, or nil if there is none.
func typeOf(name string) reflect.Type {
	registry.RLock()
	defer registry.RUnlock()
	return registry.byName[name]
}

// typeHash returns the hash of a type's name that hellos contain.
func typeHash(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name)) // never fails
	return sum.Sum32()
}

// registeredTypeHashes returns the hashes of all registered types, sorted.
func registeredTypeHashes() []uint32 {
	registry.RLock()
	defer registry.RUnlock()
	hashes := make([]uint32, 0, len(registry.byName))
	for name := range registry.byName {
		hashes = append(hashes, typeHash(name))
	}
	slices.Sort(hashes)
	return hashes
}

// isRecent reports whether a type was registered by RegisterRecent.
func isRecent(name string) bool {
	registry.RLock()
	defer registry.RUnlock()
	return registry.recent[name]
}
