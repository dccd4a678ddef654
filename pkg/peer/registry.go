package peer

import (
	"reflect"
	"sync"

	"github.com/pkg/errors"
)

// registry holds the message types by their names.
var registry = struct {
	sync.RWMutex
	byName map[string]reflect.Type
	byType map[reflect.Type]string
}{
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

// typeOf returns the type registered under a name.
func typeOf(name string) (reflect.Type, error) {
	registry.RLock()
	defer registry.RUnlock()
	kind, known := registry.byName[name]
	if !known {
		return nil, errors.Errorf("peer: unknown message type %q", name)
	}
	return kind, nil
}
