package node

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"martenwheel.dev/pkg/control"
	"martenwheel.dev/pkg/peer"
	"martenwheel.dev/pkg/tree"
)

// slowTransport answers a call when the test lets it.
type slowTransport struct {
	peer.Transport
	called chan string
	answer chan struct{}
}

func (s slowTransport) Call(_ context.Context, address string, _ peer.Message) (peer.Message, error) {
	s.called <- address
	<-s.answer
	return tree.FetchAnswer{}, nil
}

// TestTreeIsFetchedOnceAtATime: many nodes tell of a change while one fetch is
// under way; one more follows, from the last that told.
func TestTreeIsFetchedOnceAtATime(t *testing.T) {
	transport := slowTransport{called: make(chan string, 100), answer: make(chan struct{})}
	var tasks conc.WaitGroup
	fetcher := &treeFetcher{
		ctx:       t.Context(),
		tasks:     &tasks,
		trees:     tree.NewHolder(tree.Empty()),
		transport: transport,
		logger:    hclog.NewNullLogger(),
	}
	for node := range 10 {
		fetcher.fetch(control.FetchTree{Peer: fmt.Sprintf("node-%d", node)})
		if node == 0 {
			<-transport.called // so that the others come during this one
		}
	}
	close(transport.answer)
	tasks.Wait()
	close(transport.called)
	var later []string
	for address := range transport.called {
		later = append(later, address)
	}
	if !slices.Equal(later, []string{"node-9"}) {
		t.Errorf("fetched again from %v, want node-9 only", later)
	}
}
