package e2e

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"martenwheel.dev/pkg/operator"
	"martenwheel.dev/pkg/standin"
	"martenwheel.dev/pkg/tree"
)

// keepAliveEdit returns an edit that sets the root's keep-alive.
func keepAliveEdit(base tree.Revision, value string) operator.EditRequest {
	return operator.EditRequest{
		ID:    uuid.NewString(),
		Base:  base,
		Edits: []tree.Edit{{Path: "/", Key: "keep_alive", Value: value}},
	}
}

// keepAlive returns the value of the root's keep-alive at a node, and the node's tree revision.
func (c *cluster) keepAlive(t *testing.T, node *nodeProcess) (string, tree.Revision) {
	t.Helper()
	explained, err := c.operatorClient(node).Explain(t.Context(), "/")
	if err != nil {
		t.Fatal(err)
	}
	for _, origin := range explained.Origins {
		if origin.Key == "keep_alive" {
			return origin.Value, explained.Revision
		}
	}
	t.Fatalf("no keep_alive in %v", explained)
	return "", 0
}

// waitKeepAlive waits until all nodes have applied a value of the root's keep-alive.
func (c *cluster) waitKeepAlive(t *testing.T, value string) {
	t.Helper()
	for _, node := range c.nodes {
		waitFor(t, "keep_alive="+value+" is applied on "+string(node.id), func() bool {
			present, _ := c.keepAlive(t, node)
			return present == value
		})
	}
}

// TestRacingOperators edits the same key through two nodes at once, based on the same revision. One
// edit must win; the other must get a conflict with the key, both values and the winning revision.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	_, base := c.keepAlive(t, c.nodes[0])
	for round := range 5 {
		values := []string{fmt.Sprintf("%dm", 10+round), fmt.Sprintf("%dm", 20+round)}
		answers := make([]operator.EditAnswer, len(values))
		refusals := make([]error, len(values))
		race := pool.New()
		for i, value := range values {
			race.Go(func() {
				answers[i], refusals[i] = c.operatorClient(c.nodes[i]).Edit(t.Context(), keepAliveEdit(base, value))
			})
		}
		race.Wait()
		winner := 0
		if refusals[0] != nil {
			winner = 1
		}
		if refusals[winner] != nil {
			t.Fatalf("both edits were refused: %v, %v", refusals[0], refusals[1])
		}
		base = answers[winner].Revision
		wantConflict(t, refusals[1-winner], values[1-winner], values[winner], base)
		c.waitKeepAlive(t, values[winner])
	}
}

func wantConflict(t *testing.T, err error, yours, theirs string, revision tree.Revision) {
	t.Helper()
	var refused *operator.RequestError
	if !errors.As(err, &refused) || refused.Detail.Code != operator.CodeConflict || refused.Detail.Conflict == nil {
		t.Fatalf("the loser got %v, want a conflict", err)
	}
	conflict := refused.Detail.Conflict
	if conflict.Path != "/" || conflict.Key != "keep_alive" || conflict.Yours != strconv.Quote(yours) ||
		conflict.Theirs != strconv.Quote(theirs) || conflict.Revision != revision {
		t.Errorf("conflict %#v, want yours %s, theirs %s, revision %d", *conflict, yours, theirs, revision)
	}
}

// TestLostAnswerOfCommit makes the table service lose all its answers from some moment during an
// edit, a later moment each round, until two edits ended with their outcome unknown. Each edit is
// retried through all nodes with its ID, and must be applied once.
func TestLostAnswerOfCommit(t *testing.T) {
	t.Parallel()
	const (
		rounds      = 40
		tableAnswer = 50 * time.Millisecond
		always      = 1 << 30
	)
	c := startCluster(t)
	unknown := 0
	for round := 0; round < rounds && unknown < 2; round++ {
		setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{SlowMilliseconds: int(tableAnswer.Milliseconds())})
		edit := keepAliveEdit(0, fmt.Sprintf("%dm", 10+round))
		var err error
		editing := pool.New()
		editing.Go(func() { _, err = c.operatorClient(c.nodes[0]).Edit(t.Context(), edit) })
		time.Sleep(time.Duration(round%8) * tableAnswer / 2)
		setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{LoseAnswers: always})
		editing.Wait()
		setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{})
		var refused *operator.RequestError
		if errors.As(err, &refused) && refused.Detail.Code == operator.CodeOutcomeUnknown {
			unknown++
		}
		c.repeatUntilAccepted(t, edit)
		c.wantOnceInHistory(t, edit)
		c.waitKeepAlive(t, edit.Edits[0].Value)
	}
	if unknown == 0 {
		t.Errorf("no edit ended with an unknown outcome in %d rounds", rounds)
	}
}

// repeatUntilAccepted retries an edit through each node in turn; all must accept it as the same
// revision.
func (c *cluster) repeatUntilAccepted(t *testing.T, edit operator.EditRequest) {
	t.Helper()
	var first operator.EditAnswer
	for i, node := range c.nodes {
		waitFor(t, "the repeated change is accepted by "+string(node.id), func() bool {
			answer, err := c.operatorClient(node).Edit(t.Context(), edit)
			if err != nil {
				return false
			}
			if i > 0 && answer != first {
				t.Errorf("repeat accepted as %d, want %d", answer.Revision, first.Revision)
			}
			first = answer
			return true
		})
	}
}

func (c *cluster) wantOnceInHistory(t *testing.T, edit operator.EditRequest) {
	t.Helper()
	history, err := c.operatorClient(c.nodes[1]).History(t.Context(), 100)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, change := range history.Changes {
		if change.ID == edit.ID {
			count++
		}
	}
	if count != 1 {
		t.Errorf("the change is %d times in the history, want once", count)
	}
}

// wantNoRevisionRollback polls a node's tree revision until stop is closed, and fails the test if it
// decreases.
func (c *cluster) wantNoRevisionRollback(t *testing.T, node *nodeProcess, stop <-chan struct{}) {
	t.Helper()
	highest := tree.Revision(0)
	for {
		status, err := c.operatorClient(node).Status(t.Context())
		if err == nil && status.TreeRevision < highest {
			t.Errorf("%s went back from revision %d to %d", node.id, highest, status.TreeRevision)
			return
		}
		if err == nil {
			highest = status.TreeRevision
		}
		select {
		case <-stop:
			return
		case <-time.After(waitPoll):
		}
	}
}

// TestEditNeverReverts makes an edit while the table service serves stale reads, then makes all
// storage of the platform unavailable and restarts a node. The edit must be applied everywhere, and
// no node may go back to an older revision. A restarted node must have the newest tree by the time
// it is ready: from its peers alone while the platform is down, and also if the table service
// serves stale reads.
func TestEditNeverReverts(t *testing.T) {
	t.Parallel()
	c := startCluster(t)
	askUntilServed(t, c.nodes[0], "firing-13b") // from here on, the engines are recorded
	stop := make(chan struct{})
	watch := pool.New()
	for _, node := range c.nodes[:2] {
		watch.Go(func() { c.wantNoRevisionRollback(t, node, stop) })
	}
	setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{StaleReads: true})
	c.setTree(t, "/", "keep_alive=47m")
	c.waitKeepAlive(t, "47m")

	setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{Refuse: true})
	setFaults(t, c.platformAddress, standin.PartObjects, standin.Faults{Refuse: true})
	c.nodes[2].kill()
	restarted := c.replaceNode(t, c.nodes[2])
	if value, revision := c.keepAlive(t, restarted); value != "47m" {
		t.Errorf("the restarted node has keep_alive=%s at revision %d, want 47m", value, revision)
	}
	askUntilServed(t, restarted, "glaze-7b")

	setFaults(t, c.platformAddress, standin.PartObjects, standin.Faults{})
	setFaults(t, c.platformAddress, standin.PartTable, standin.Faults{StaleReads: true})
	c.setTree(t, "/", "keep_alive=48m")
	c.waitKeepAlive(t, "48m")
	c.nodes[2].stop(t)
	restarted = c.replaceNode(t, c.nodes[2])
	if value, revision := c.keepAlive(t, restarted); value != "48m" {
		t.Errorf("the node started with stale reads has keep_alive=%s at revision %d, want 48m", value, revision)
	}
	close(stop)
	watch.Wait()
}
