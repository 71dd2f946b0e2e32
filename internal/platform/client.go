// Package platform reads the users' configuration service and list of VMs.
package platform

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
	// maxValueBytes is the largest value that the platform publishes, with room for its envelope.
	maxValueBytes = 1<<20 + 4<<10
	// idleConnTimeout closes a connection to the platform that no call has used for so long.
	idleConnTimeout = 90 * time.Second
)

// Config holds the settings of a Client.
type Config struct {
	// URL is the base of the platform's addresses, such as http://127.0.0.1:7000.
	URL string
	// HTTPClient carries the calls; nil takes a client with its own connections.
	HTTPClient connect.HTTPClient
	// CallsPerSecond bounds the calls of this process. Lower values protect the platform's budget,
	// which all readers share; higher ones let a watch pass while the process also repairs its view.
	// Zero means 4 calls a second.
	CallsPerSecond float64
	// Burst is how many calls may be made at once after a pause. Zero means 8.
	Burst int
	// Meter counts the bytes of answers; nil counts nothing.
	Meter *traffic.Meter
}

// Client reads the platform within a budget of calls.
type Client struct {
	service bramleyv1connect.PlatformServiceClient
	limiter *rate.Limiter
	meter   *traffic.Meter
}

// New returns a client of the platform.
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
			config.HTTPClient, config.URL, connect.WithReadMaxBytes(maxValueBytes)),
		limiter: rate.NewLimiter(rate.Limit(config.CallsPerSecond), config.Burst),
		meter:   config.Meter,
	}
}

// Get returns one published value.
func (c *Client) Get(ctx context.Context, key string) (*bramleyv1.GetResponse, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "platform call budget")
	}
	response, err := c.service.Get(ctx, connect.NewRequest(&bramleyv1.GetRequest{Key: key}))
	if err != nil {
		return nil, errors.Annotatef(err, "reading %q", key)
	}
	c.meter.Add(traffic.Configuration, proto.Size(response.Msg))
	return response.Msg, nil
}

// Watch waits for a value with a revision above the given one, or until the platform ends the wait.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (*bramleyv1.GetResponse, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "platform call budget")
	}
	request := &bramleyv1.WatchRequest{Key: key, AfterRevision: after}
	response, err := c.service.Watch(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Annotatef(err, "watching %q", key)
	}
	c.meter.Add(traffic.Configuration, proto.Size(response.Msg))
	return response.Msg, nil
}

// ListVMs returns the lagging list of the VMs of a place; an empty place lists all.
func (c *Client) ListVMs(ctx context.Context, place string) ([]*bramleyv1.VM, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return nil, errors.Annotate(err, "platform call budget")
	}
	request := &bramleyv1.ListVMsRequest{Place: place}
	response, err := c.service.ListVMs(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, errors.Annotatef(err, "listing the VMs of %q", place)
	}
	c.meter.Add(traffic.Membership, proto.Size(response.Msg))
	return response.Msg.GetVms(), nil
}
