// Package platformclient is the client of the platform's configuration service and VM list.
package platformclient

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

const (
	// maxResponseBytes limits a response: the platform publishes values of up to 1 MiB, and the rest is room for the
	// message around the value.
	maxResponseBytes = 1<<20 + 4<<10
	// idleConnTimeout is how long an unused connection to the platform stays open.
	idleConnTimeout = 90 * time.Second
)

// Config configures a Client. Only URL is required.
type Config struct {
	// URL is the base URL of the platform, such as http://127.0.0.1:7000.
	URL string
	// HTTPClient sends the requests. Nil means a client with its own connection pool.
	HTTPClient connect.HTTPClient
	// CallsPerSecond limits the call rate of this process. A lower limit protects the platform's call budget,
	// which all clients share; a higher one lets a watch proceed while the process also repairs its view.
	// Zero means 4 calls per second.
	CallsPerSecond float64
	// Burst is how many calls may be made at once after an idle period. Zero means 8.
	Burst int
	// Meter counts the bytes of responses. If nil, nothing is counted.
	Meter *traffic.Meter
}

// Client reads from the platform. Each call first waits for the rate limiter.
type Client struct {
	service bramleyv1connect.PlatformServiceClient
	limiter *rate.Limiter
	meter   *traffic.Meter
}

// New returns a Client and replaces zero values in config by defaults.
func New(config Config) *Client {
	if config.HTTPClient == nil {
		config.HTTPClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: idleConnTimeout}}
	}
	if config.CallsPerSecond == 0 {
		config.CallsPerSecond = 4
	}
	if config.Burst == 0 {
		config.Burst = 8
	}
	return &Client{
		service: bramleyv1connect.NewPlatformServiceClient(
			config.HTTPClient, config.URL, connect.WithReadMaxBytes(maxResponseBytes)),
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.Burst),
		meter:   config.Meter,
	}
}

// Get returns the published value of key.
func (c *Client) Get(ctx context.Context, key string) (*bramleyv1.GetResponse, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "waiting for the platform call rate limit")
	}
	response, err := c.service.Get(ctx, connect.NewRequest(&bramleyv1.GetRequest{Key: key}))
	if err != nil {
		return nil, errors.Annotatef(err, "reading %q", key)
	}
	c.meter.Add(traffic.Configuration, proto.Size(response.Msg))
	return response.Msg, nil
}

// Watch is a long poll: it returns when key has a value with a revision above after, or when the platform ends the
// wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (*bramleyv1.GetResponse, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "waiting for the platform call rate limit")
	}
	request := &bramleyv1.WatchRequest{Key: key, AfterRevision: after}
	response, err := c.service.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Annotatef(err, "watching %q", key)
	}
	c.meter.Add(traffic.Configuration, proto.Size(response.Msg))
	return response.Msg, nil
}

// ListVMs returns the VMs of a place, or all VMs if place is empty. The platform's list lags behind the actual
// state.
func (c *Client) ListVMs(ctx context.Context, place string) ([]*bramleyv1.VM, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "waiting for the platform call rate limit")
	}
	request := &bramleyv1.ListVMsRequest{Place: place}
	response, err := c.service.ListVMs(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Annotatef(err, "listing the VMs of %q", place)
	}
	c.meter.Add(traffic.Membership, proto.Size(response.Msg))
	return response.Msg.GetVms(), nil
}
