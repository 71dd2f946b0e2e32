package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/internal/nodestatus"
)

const (
	// maxOperatorAnswer bounds the answer of an operator address in bytes. An answer with all metrics has a few kB.
	maxOperatorAnswer = 1 << 20
	// maxOperatorRequests bounds the requests in flight.
	maxOperatorRequests = 64
	// defaultOperatorTimeout is the default time limit of one request.
	defaultOperatorTimeout = 2 * time.Second
)

// addressList is a flag that holds addresses, separated by commas. The flag may be repeated.
type addressList []string

func (l *addressList) String() string {
	return strings.Join(*l, ",")
}

// Set adds the addresses in text that the list does not contain yet.
func (l *addressList) Set(text string) error {
	for _, address := range splitList(text) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%q is not IP:PORT", address)
		}
		if !slices.Contains(*l, address) {
			*l = append(*l, address)
		}
	}
	return nil
}

// operatorClient sends requests to operator addresses.
type operatorClient struct {
	http *http.Client
	// timeout bounds one request, including its answer.
	timeout time.Duration
}

func newOperatorClient(timeout time.Duration) *operatorClient {
	return &operatorClient{http: &http.Client{}, timeout: timeout}
}

// get stores the JSON answer to a request in v. An answer with another status than 200 is returned as an error with its
// text.
func (c *operatorClient) get(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorAnswer+1))
	switch {
	case err != nil:
		return errors.Annotatef(err, "reading the answer of %s", address)
	case len(body) > maxOperatorAnswer:
		return errors.Errorf("answer of %s exceeds %d bytes", address, maxOperatorAnswer)
	case response.StatusCode != http.StatusOK:
		return errors.Errorf("%s answered %d: %s", address, response.StatusCode, firstLine(body))
	}
	return errors.Annotatef(json.Unmarshal(body, v), "decoding the answer of %s", address)
}

// maxErrorText bounds the part of an answer that is printed as an error.
const maxErrorText = 200

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(body)), "\n")
	return line[:min(len(line), maxErrorText)]
}

// forEach calls f with the index of each address, concurrently.
func forEach(addresses []string, f func(i int)) {
	var group errgroup.Group
	group.SetLimit(maxOperatorRequests)
	for i := range addresses {
		group.Go(func() error {
			f(i)
			return nil
		})
	}
	_ = group.Wait()
}

// nodeState is the state of one process, or the error if it could not be queried.
type nodeState struct {
	Address string `json:"address"`
	// Note is empty, noteLags or noteUnreachable, and Behind names what lags.
	Note   string   `json:"note,omitempty"`
	Behind []string `json:"behind,omitempty"`
	Error  string   `json:"error,omitempty"`
	*nodestatus.Node
	// Server is nil for a balancer, and for an agent that has just started.
	Server *nodestatus.Server `json:"server,omitempty"`
}

// nodesReport holds the states of all queried processes. Era, Revision and Version are the highest ones.
type nodesReport struct {
	Era       uint16      `json:"era"`
	Revision  uint64      `json:"revision"`
	Version   uint64      `json:"version"`
	InForce   bool        `json:"in_force"`
	Processes []nodeState `json:"processes"`
}

// nodes queries every process concurrently and evaluates the answers.
func (c *operatorClient) nodes(ctx context.Context, addresses []string, maxAge time.Duration) *nodesReport {
	report := &nodesReport{Processes: make([]nodeState, len(addresses))}
	forEach(addresses, func(i int) { report.Processes[i] = c.node(ctx, addresses[i]) })
	report.evaluate(maxAge)
	return report
}

func (c *operatorClient) node(ctx context.Context, address string) nodeState {
	var variables struct {
		Node   *nodestatus.Node   `json:"node"`
		Server *nodestatus.Server `json:"server"`
	}
	err := c.get(ctx, address, "/debug/vars", &variables)
	if err == nil && variables.Node == nil {
		err = errors.Errorf("%s is not a flow process: its metrics have no variable %q", address, nodestatus.NodeVariable)
	}
	if err != nil {
		return nodeState{Address: address, Note: noteUnreachable, Error: err.Error()}
	}
	return nodeState{Address: address, Node: variables.Node, Server: variables.Server}
}

// The values of nodeState.Behind.
const (
	behindView     = "view"
	behindEra      = "era"
	behindRevision = "revision"
	behindVersion  = "version"
)

// evaluate marks the processes that lag behind the highest era, revision and version. The revision of a working process
// is usually a little lower than the highest one, because servers write their entries all the time and the processes are
// not queried at the same instant. A lower revision therefore counts as a lag only if the view is older than maxAge.
func (r *nodesReport) evaluate(maxAge time.Duration) {
	highest := &nodestatus.View{}
	for _, p := range r.Processes {
		if p.Node == nil || p.View == nil {
			continue
		}
		if p.View.ID() > highest.ID() {
			highest.Era, highest.Revision = p.View.Era, p.View.Revision
		}
		highest.Version = max(highest.Version, p.View.Version)
	}
	r.Era, r.Revision, r.Version = highest.Era, highest.Revision, highest.Version
	for i := range r.Processes {
		p := &r.Processes[i]
		if p.Node == nil {
			continue
		}
		if p.Behind = behind(p.View, highest, maxAge); len(p.Behind) > 0 {
			p.Note = noteLags
		}
	}
	r.InForce = r.count(noteNone) == len(r.Processes)
}

// behind returns in what a view lags behind the highest one.
func behind(view, highest *nodestatus.View, maxAge time.Duration) []string {
	if view == nil {
		return []string{behindView}
	}
	var list []string
	switch {
	case view.Era < highest.Era:
		list = append(list, behindEra)
	case view.Revision < highest.Revision && view.AgeMs > maxAge.Milliseconds():
		list = append(list, behindRevision)
	}
	if view.Version < highest.Version {
		list = append(list, behindVersion)
	}
	return list
}

func (r *nodesReport) count(note string) int {
	n := 0
	for _, p := range r.Processes {
		if p.Note == note {
			n++
		}
	}
	return n
}
