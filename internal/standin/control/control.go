// Package control controls the stand-ins and reads the published variables of processes over HTTP.
package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// requestTimeout limits each HTTP request to a process.
const requestTimeout = time.Second

// pollInterval is the time between two checks of a process.
const pollInterval = 20 * time.Millisecond

// Client sends HTTP requests to processes.
type Client struct {
	http *http.Client
}

// NewClient returns a client whose requests time out after requestTimeout.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: requestTimeout}}
}

// GetJSON sends a GET request and decodes the answer into value.
func (c *Client) GetJSON(ctx context.Context, url string, value any) error {
	return c.do(ctx, http.MethodGet, url, nil, value)
}

// PutJSON sends value in a PUT request.
func (c *Client) PutJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPut, url, body, nil)
}

// Post sends an empty POST request and decodes the answer into value.
func (c *Client) Post(ctx context.Context, url string, value any) error {
	return c.do(ctx, http.MethodPost, url, nil, value)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, value any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(data))
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(data, value)
}

// Vars holds the published variables of a process that tests use. Revision is the one that is in force.
type Vars struct {
	Revision uint64 `json:"revision"`
	Flows    int    `json:"flows"`
}

// Vars reads the published variables of the process with the given operator address.
func (c *Client) Vars(ctx context.Context, operator string) (Vars, error) {
	var vars Vars
	err := c.GetJSON(ctx, fmt.Sprintf("http://%s/debug/vars", operator), &vars)
	return vars, err
}

// WaitReady waits until every process reports that it is ready.
func (c *Client) WaitReady(ctx context.Context, operators []string) error {
	return c.waitAll(ctx, operators, func(operator string) error {
		return c.do(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", operator), nil, nil)
	})
}

// WaitRevision waits until every process has the revision or a later one in force.
func (c *Client) WaitRevision(ctx context.Context, operators []string, revision uint64) error {
	return c.waitAll(ctx, operators, func(operator string) error {
		vars, err := c.Vars(ctx, operator)
		if err == nil && vars.Revision < revision {
			err = errors.Errorf("revision %d is in force, want at least %d", vars.Revision, revision)
		}
		return err
	})
}

// CheckRevision checks repeatedly that every process has the revision or a later one in force. It makes at least one
// check, and returns the first failure.
func (c *Client) CheckRevision(ctx context.Context, operators []string, revision uint64, duration time.Duration) error {
	for start := time.Now(); ; {
		for _, operator := range operators {
			vars, err := c.Vars(ctx, operator)
			if err != nil {
				return err
			}
			if vars.Revision < revision {
				return errors.Errorf("%s: revision %d is in force, want at least %d", operator, vars.Revision, revision)
			}
		}
		if time.Since(start) >= duration {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// waitAll repeats a check on each process until it passes or ctx ends. Its error names each process whose check did
// not pass.
func (c *Client) waitAll(ctx context.Context, operators []string, check func(string) error) error {
	errs := make([]error, len(operators))
	var group errgroup.Group
	for i, operator := range operators {
		group.Go(func() error {
			errs[i] = errors.Annotate(poll(ctx, func() error { return check(operator) }), operator)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors; errs holds them.
	return joinErrors(errs)
}

// poll repeats a check until it passes or ctx ends. Once ctx has ended, a check usually fails with a context error, so
// poll then returns the last error from before that, if there is one.
func poll(ctx context.Context, check func() error) error {
	var last error
	for {
		err := check()
		if err == nil {
			return nil
		}
		if last == nil || ctx.Err() == nil {
			last = err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return last
		}
	}
}

// joinErrors returns an error with one line for each non-nil error, or nil if there is none.
func joinErrors(errs []error) error {
	var text bytes.Buffer
	for _, err := range errs {
		if err != nil {
			fmt.Fprintln(&text, err)
		}
	}
	if text.Len() == 0 {
		return nil
	}
	return errors.New(text.String())
}
