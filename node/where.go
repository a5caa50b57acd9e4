package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/clock"
	clients "github.com/chivetiller/chivetiller/internal/clients/listener"
	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
	"github.com/chivetiller/chivetiller/scheduler"
)

const (
	// maxQuestionBody is the maximum size of a question in bytes.
	maxQuestionBody = 16 << 10
	// questionInterval is the minimum time between two questions that the leader answers. Each takes its loop for up to 2 ms in the largest
	// deployment.
	questionInterval = 50 * time.Millisecond
)

// errTooManyQuestions means that the leader has just answered another question.
var errTooManyQuestions = errors.New("the leader answers other questions; ask again")

// metricsHandler returns the handler of the metrics listener: the metrics, and questions where a job would go.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.metrics.Handler())
	mux.HandleFunc("POST "+whereabouts.Path, n.serveWhere)
	return mux
}

// serveWhere answers where a job would go now.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	var q whereabouts.Question
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&q)
	if clients.WriteRefusal(w, err) {
		return
	}
	if err == nil {
		err = n.checkQuestion(&q)
	}
	if err != nil {
		n.writeAnswer(w, http.StatusBadRequest, whereabouts.Failure{Error: err.Error()})
		return
	}
	answer, err := n.peers.Where(r.Context(), q)
	if err != nil {
		n.writeAnswer(w, http.StatusServiceUnavailable, whereabouts.Failure{Error: err.Error(), LastLeader: n.members.LastLeader()})
		return
	}
	n.writeAnswer(w, http.StatusOK, answer)
}

func (n *Node) checkQuestion(q *whereabouts.Question) error {
	if _, ok := n.source.Current().Queue(q.Queue); !ok {
		return eris.Wrapf(whereabouts.ErrUnknownQueue, "queue %q", q.Queue)
	}
	return q.Validate()
}

func (n *Node) writeAnswer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		n.logger.Debug("Answer was not written.", "error", err)
	}
}

// Where asks the leader where a job would go now.
func (p *peers) Where(ctx context.Context, q whereabouts.Question) (a whereabouts.Answer, err error) {
	err = p.callLeader(ctx, func(e *scheduler.Engine) (err error) {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		a, err = p.answerWhere(ctx, e, q)
		return err
	}, pathWhere, q, &a)
	return a, err
}

// handleWhere answers a question that another node has passed on.
func (p *peers) handleWhere(ctx context.Context, q whereabouts.Question) (a whereabouts.Answer, err error) {
	if err := q.Validate(); err != nil {
		return a, err
	}
	err = p.runAsLeader(func(e *scheduler.Engine) (err error) {
		a, err = p.answerWhere(ctx, e, q)
		return err
	})
	return a, err
}

// answerWhere answers a question on the leader.
func (p *peers) answerWhere(ctx context.Context, e *scheduler.Engine, q whereabouts.Question) (whereabouts.Answer, error) {
	p.mu.Lock()
	now := clock.Now()
	due := now-p.answeredAt >= questionInterval
	if due {
		p.answeredAt = now
	}
	p.mu.Unlock()
	if !due {
		return whereabouts.Answer{}, errTooManyQuestions
	}
	a, err := e.Where(ctx, q)
	a.Leader = p.n.settings.Name
	return a, err
}
