package lineage

import (
	"context"
	"time"
)

// Where several versions serve a service, or did lately, nothing but the streams' origins tells where they may
// continue. The first keeper of each node then also writes the origins to a store, for the case that all nodes
// are lost at once.

const (
	// storedAskTime is how long the answers of nodes that read the store are awaited. A read that takes longer
	// goes on for the caller's next attempt.
	storedAskTime = 400 * time.Millisecond
	// aloneLifetimes is for how many lifetimes of a stream one version must have served alone so that its origin
	// is not written. Whoever takes a stream up relies on one version alone after two of its caller's waits or
	// of its route's limit, which may be longer.
	aloneLifetimes = 4
)

// theStore stands for the store in Found.From.
const theStore = "store"

// storing returns a function that reports whether the origins of a service's streams that live for the given time
// are written to the store now.
func (r *Register) storing() func(service string, lifetime time.Duration) bool {
	if r.Store == nil || r.Alone == nil {
		return func(string, time.Duration) bool { return false }
	}
	alone := make(map[string]time.Duration)
	return func(service string, lifetime time.Duration) bool {
		known, looked := alone[service]
		if !looked {
			known = r.Alone(service)
			alone[service] = known
		}
		return known/aloneLifetimes < lifetime
	}
}

// openArchive returns this node's archive; nil if there is no store.
func (r *Register) openArchive() *archive {
	if r.Store == nil {
		return nil
	}
	r.opening.Do(func() {
		r.archive = &archive{self: r.Self, store: r.Store, time: r.Time, logger: r.Logger, learn: func(key Key, o Origin) {
			r.put(r.Time.Now(), key, o, storedLifetime)
		}}
	})
	return r.archive
}

// writeInterval returns the time between two writes of a keeper.
func (r *Register) writeInterval() time.Duration {
	r.mu.Lock()
	keepers := len(r.currentView(r.Time.Now()).ask) + 1
	r.mu.Unlock()
	return archiveInterval * time.Duration((keepers+keepersPerInterval-1)/keepersPerInterval)
}

// store has the streams of a message written that are to be.
func (r *Register) store(groups []Group) {
	for _, g := range groups {
		if !g.Store {
			continue
		}
		for _, s := range g.Streams {
			r.openArchive().add(s.Key, g.Origin)
		}
	}
}

// single reports whether this is the only node of the site.
func (r *Register) single() bool { return len(r.Nodes()) == 1 && r.Holder() == "" }

// FindStored looks for the origin of a stream that no node knows in the store. Only keepers read it.
func (r *Register) FindStored(ctx context.Context, key Key) Found {
	if r.Store == nil {
		return Found{}
	}
	r.mu.Lock()
	v := r.currentView(r.Time.Now())
	nodes, keeper := v.tell, v.keeper
	r.mu.Unlock()
	if keeper || r.single() {
		return r.findStoredHere(ctx, key)
	}
	message := Find{Key: key, Stored: true}
	if len(nodes) == 0 && r.Holder() != "" {
		nodes, message.Ask = []Node{{Name: holderName, Address: r.Holder()}}, true
	}
	return r.ask(ctx, nodes, message, storedAskTime)
}

// findStoredHere reads the store, unless this node did lately.
func (r *Register) findStoredHere(ctx context.Context, key Key) Found {
	ctx, cancel := context.WithTimeout(ctx, storedAskTime)
	defer cancel()
	r.openArchive().refresh(ctx)
	f := r.findHere(key)
	f.From = theStore
	return f
}

// answerFind looks for a stream on behalf of another node.
func (r *Register) answerFind(ctx context.Context, m Find) Found {
	f := r.findHere(m.Key)
	if !f.Known && !f.Conflicting && m.Ask {
		f = r.Find(ctx, m.Key)
	}
	if f.Known || f.Conflicting || !m.Stored {
		return f
	}
	if m.Ask {
		return r.FindStored(ctx, m.Key)
	}
	return r.findStoredHere(ctx, m.Key)
}
