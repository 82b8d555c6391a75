// Package configservice reads the platform's configuration service and instance
// list over HTTP and decodes their JSON values.
package configservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// Options configure a Client.
type Options struct {
	// ConfigURL is the base address of the configuration service, for example
	// "http://127.0.0.1:7000".
	ConfigURL string
	// InstancesURL is the base address of the instance list.
	InstancesURL string
	// ReadTimeout limits a read. WatchTimeout limits a watch and must be longer than
	// 30 s, after which the service answers a watch even without a change. 0 selects
	// the default.
	ReadTimeout  time.Duration
	WatchTimeout time.Duration
}

// Defaults of Options.
const (
	DefaultReadTimeout  = 2 * time.Second
	DefaultWatchTimeout = 35 * time.Second
)

// maxValueBytes is the size limit of a value in the configuration service, and
// maxListBytes that of the instance list.
const (
	maxValueBytes = 1 << 20
	maxListBytes  = 4 << 20
)

// Client implements port.ConfigSource and port.InstanceList.
type Client struct {
	options Options
	http    *http.Client
}

// New returns a client. The error means that a base address is invalid.
func New(o Options) (*Client, error) {
	for _, u := range []string{o.ConfigURL, o.InstancesURL} {
		parsed, err := url.Parse(u)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			return nil, merry.Errorf("platform: %q is not an HTTP or HTTPS address", u)
		}
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	return &Client{options: o, http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: 4, MaxIdleConnsPerHost: 2, IdleConnTimeout: 40 * time.Second, DisableCompression: true,
	}}}, nil
}

// Read implements port.ConfigSource.
func (c *Client) Read(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	value, _, err := c.get(ctx, c.options.ConfigURL+"/v1/keys/"+key, maxValueBytes)
	return value, err
}

// Watch implements port.ConfigSource.
func (c *Client) Watch(ctx context.Context, key string, known uint64) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchTimeout)
	defer cancel()
	value, header, err := c.get(ctx, fmt.Sprintf("%s/v1/keys/%s?watch=%d", c.options.ConfigURL, key, known), maxValueBytes)
	if err != nil {
		return nil, 0, err
	}
	revision, err := strconv.ParseUint(header.Get("Revision"), 10, 64)
	if err != nil {
		return nil, 0, merry.Wrap(port.ErrUnavailable, merry.AppendMessagef("platform: invalid Revision header %q", header.Get("Revision")))
	}
	return value, revision, nil
}

// Instances implements port.InstanceList.
func (c *Client) Instances(ctx context.Context) ([]model.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReadTimeout)
	defer cancel()
	raw, _, err := c.get(ctx, c.options.InstancesURL+"/v1/instances", maxListBytes)
	if err != nil {
		return nil, err
	}
	return decodeInstances(raw)
}

// get returns the body and the header of a response. The error is port.ErrNotFound
// for status 404, port.ErrTooLarge for a body above the limit in bytes, and
// port.ErrUnavailable for every other failure of the call.
func (c *Client) get(ctx context.Context, address string, limit int64) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, nil, merry.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, nil, merry.Wrap(port.ErrNotFound, merry.AppendMessage(address))
	case resp.StatusCode != http.StatusOK:
		return nil, nil, merry.Wrap(port.ErrUnavailable, merry.AppendMessagef("platform: status %d", resp.StatusCode))
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	if int64(len(value)) > limit {
		return nil, nil, merry.Wrap(port.ErrTooLarge, merry.AppendMessagef("%s is over %d bytes", address, limit))
	}
	return value, resp.Header, nil
}

var (
	_ port.ConfigSource = (*Client)(nil)
	_ port.InstanceList = (*Client)(nil)
)
