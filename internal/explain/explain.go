// Package explain lets operators ask the event loop of a running process what it would do with a flow.
package explain

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/bramleyrack/bramleyrack/flow"
	"github.com/bramleyrack/bramleyrack/internal/telemetry"
)

// Path is the path of the endpoint at the operator address. The parameters ClientParameter and ServiceParameter hold the
// two endpoints of the flow.
const (
	Path             = "/explain"
	ClientParameter  = "client"
	ServiceParameter = "service"
)

const (
	// maxQuestions bounds the questions that wait for the event loop. Further ones are refused.
	maxQuestions = 8
	// answerTimeout bounds the wait for the event loop, which answers within milliseconds unless it is stalled.
	answerTimeout = time.Second
)

// Answer is the answer of a process in one of the roles of package nodestatus.
type Answer[E any] struct {
	Role        string `json:"role"`
	Explanation E      `json:"explanation"`
}

// Question is a question about a flow. Reply must be called once.
type Question[E any] struct {
	Key    flow.Key
	answer chan E
}

// Reply answers the question. It never blocks.
func (q Question[E]) Reply(e E) {
	q.answer <- e
}

// Questions is a bounded queue of questions for an event loop.
type Questions[E any] chan Question[E]

// NewQuestions returns an empty queue.
func NewQuestions[E any]() Questions[E] {
	return make(Questions[E], maxQuestions)
}

// Endpoint returns the endpoint that puts questions into the queue and returns the answers as JSON. problem returns the
// status and text for an explanation that is an error, or zero.
func (q Questions[E]) Endpoint(role string, problem func(E) (status int, text string)) telemetry.Endpoint {
	return telemetry.Endpoint{Pattern: "GET " + Path, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, err := parseKey(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e, ok := q.ask(r, key)
		if !ok {
			http.Error(w, fmt.Sprintf("the event loop did not answer within %v", answerTimeout), http.StatusServiceUnavailable)
			return
		}
		if status, text := problem(e); status != 0 {
			http.Error(w, text, status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator has closed the connection.
		_ = json.NewEncoder(w).Encode(Answer[E]{Role: role, Explanation: e})
	})}
}

// ask puts a question into the queue and waits for the answer.
func (q Questions[E]) ask(r *http.Request, key flow.Key) (e E, ok bool) {
	timeout := time.NewTimer(answerTimeout)
	defer timeout.Stop()
	// The buffer lets the event loop answer a question whose asker is gone.
	question := Question[E]{Key: key, answer: make(chan E, 1)}
	select {
	case q <- question:
	case <-timeout.C:
		return e, false
	case <-r.Context().Done():
		return e, false
	}
	select {
	case e = <-question.answer:
		return e, true
	case <-timeout.C:
	case <-r.Context().Done():
	}
	return e, false
}

func parseKey(r *http.Request) (flow.Key, error) {
	client, err := parseEndpoint(r, ClientParameter)
	if err != nil {
		return flow.Key{}, err
	}
	service, err := parseEndpoint(r, ServiceParameter)
	return flow.Key{Client: client, Service: service}, err
}

func parseEndpoint(r *http.Request, parameter string) (flow.Endpoint, error) {
	text := r.URL.Query().Get(parameter)
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() {
		return flow.Endpoint{}, fmt.Errorf("parameter %s: %q is not an IPv4 address and port", parameter, text)
	}
	return flow.EndpointOf(address), nil
}
