package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
	"github.com/chivetiller/chivetiller/store"
)

// ask posts a document to the metrics listener of a node, and decodes the answer into to.
func ask(t *testing.T, n *Node, document string, to any) int {
	t.Helper()
	response, err := http.Post(fmt.Sprintf("http://%s:%d%s", n.settings.IP, metricsPort, whereabouts.Path), "application/json", bytes.NewReader([]byte(document)))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(t, json.NewDecoder(response.Body).Decode(to), qt.IsNil)
	return response.StatusCode
}

// TestWhere guards against a question that only the leader can answer, one that starts the job, one that brings down a process by its size or
// by its content, and one that gets an answer although the leader is lost.
func TestWhere(t *testing.T) {
	c := newCluster(t, 2)
	for _, n := range c.nodes {
		eventually(t, 5*time.Second, func() bool { return n.Ready(t.Context()) == nil })
	}
	const question = `{"queue":"q","cpu":1000,"memory":1,"count":2,"estimateSeconds":1}`
	for _, n := range c.nodes {
		var a whereabouts.Answer
		eventually(t, 10*time.Second, func() bool {
			a = whereabouts.Answer{}
			return ask(t, n, question, &a) == http.StatusOK && a.Worker != ""
		})
		qt.Assert(t, a.Worker, qt.Equals, "w1")
		qt.Assert(t, a.Pool, qt.Equals, "p")
		qt.Assert(t, a.Admission, qt.Equals, "admitted")
		qt.Assert(t, a.Workers, qt.Equals, 1)
		qt.Assert(t, a.End, qt.IsNotNil)
	}
	leader := slices.IndexFunc(c.nodes, func(n *Node) bool { _, holds := n.leadership.Engine(); return holds })
	qt.Assert(t, leader >= 0, qt.IsTrue)
	follower := c.nodes[1-leader]
	for name, document := range map[string]string{
		"unknown queue": `{"queue":"none","count":1}`, "unknown field": `{"queue":"q","count":1,"speed":2}`, "no tasks": `{"queue":"q"}`,
		"too many tasks": `{"queue":"q","count":1000000000}`, "not JSON": `queue: q`, "too large": `{"queue":"` + strings.Repeat("q", maxQuestionBody) + `"}`,
	} {
		var failure whereabouts.Failure
		qt.Assert(t, ask(t, follower, document, &failure), qt.Equals, http.StatusBadRequest, qt.Commentf("%s", name))
		qt.Assert(t, failure.Error, qt.Not(qt.Equals), "")
	}
	c.workers.mu.Lock()
	qt.Assert(t, c.workers.starts, qt.HasLen, 0)
	c.workers.mu.Unlock()

	// Without the store no other node becomes the leader.
	c.stores[1-leader].Disconnect(store.ErrUnknown)
	eventually(t, 5*time.Second, follower.clock.Unreachable)
	lost := c.nodes[leader].settings.Name
	qt.Assert(t, c.nodes[leader].Stop(context.Background()), qt.IsNil)
	defer func() { _ = follower.Stop(context.Background()) }()
	var failure whereabouts.Failure
	qt.Assert(t, ask(t, follower, question, &failure), qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, failure.LastLeader, qt.Equals, lost)
	qt.Assert(t, failure.Error, qt.Not(qt.Equals), "")
	c.stores[1-leader].Reconnect()
}
