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

// slowTransport answers calls only once the test closes answer.
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

// TestTreeIsFetchedOnceAtATime requests many fetches while one is running, as when
// many nodes announce a change. Only one more fetch must follow, from the node that
// was requested last.
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
			<-transport.called // the first fetch is running
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
