// Package control drives the stand-ins and asks the system's processes for their figures.
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

// requestTimeout bounds one HTTP request to a process.
const requestTimeout = time.Second

// pollInterval is the time between two looks at a process that is waited for.
const pollInterval = 20 * time.Millisecond

// Client asks processes over HTTP.
type Client struct {
	http *http.Client
}

// NewClient returns a client with a timeout for each request.
func NewClient() *Client {
	return &Client{http: &http.Client{Timeout: requestTimeout}}
}

// GetJSON decodes the answer to a GET into value.
func (c *Client) GetJSON(ctx context.Context, url string, value any) error {
	return c.do(ctx, http.MethodGet, url, nil, value)
}

// PutJSON sends value with a PUT.
func (c *Client) PutJSON(ctx context.Context, url string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPut, url, body, nil)
}

// Post sends an empty POST and decodes the answer into value.
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

// Vars are the variables of a process that the stand-ins look at.
type Vars struct {
	Revision uint64 `json:"revision"`
	Flows    int    `json:"flows"`
}

// Vars returns the variables of the process with the given operator address.
func (c *Client) Vars(ctx context.Context, operator string) (Vars, error) {
	var vars Vars
	err := c.GetJSON(ctx, fmt.Sprintf("http://%s/debug/vars", operator), &vars)
	return vars, err
}

// WaitReady waits until every process says that it is ready.
func (c *Client) WaitReady(ctx context.Context, operators []string) error {
	return c.waitAll(ctx, operators, func(operator string) error {
		return c.do(ctx, http.MethodGet, fmt.Sprintf("http://%s/readyz", operator), nil, nil)
	})
}

// WaitRevision waits until every process has the revision, or a higher one, in force.
func (c *Client) WaitRevision(ctx context.Context, operators []string, revision uint64) error {
	return c.waitAll(ctx, operators, func(operator string) error {
		vars, err := c.Vars(ctx, operator)
		if err == nil && vars.Revision < revision {
			err = errors.Errorf("revision %d is in force, not %d", vars.Revision, revision)
		}
		return err
	})
}

// HoldRevision checks again and again that every process has the revision, or a higher one, in force.
func (c *Client) HoldRevision(ctx context.Context, operators []string, revision uint64, during time.Duration) error {
	for start := time.Now(); ; {
		for _, operator := range operators {
			vars, err := c.Vars(ctx, operator)
			if err != nil {
				return err
			}
			if vars.Revision < revision {
				return errors.Errorf("%s: revision %d is in force, below %d", operator, vars.Revision, revision)
			}
		}
		if time.Since(start) >= during {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// waitAll repeats a check on each process until it passes or the context ends.
func (c *Client) waitAll(ctx context.Context, operators []string, check func(string) error) error {
	findings := make([]error, len(operators))
	var group errgroup.Group
	for i, operator := range operators {
		group.Go(func() error {
			findings[i] = errors.Annotate(poll(ctx, func() error { return check(operator) }), operator)
			return nil
		})
	}
	_ = group.Wait() // The findings hold every error.
	return joined(findings)
}

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

func joined(findings []error) error {
	var text bytes.Buffer
	for _, err := range findings {
		if err != nil {
			fmt.Fprintln(&text, err)
		}
	}
	if text.Len() == 0 {
		return nil
	}
	return errors.New(text.String())
}
