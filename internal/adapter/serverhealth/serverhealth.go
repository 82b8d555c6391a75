// Package serverhealth reads the health endpoints of backend servers.
package serverhealth

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxAnswer bounds an answer in bytes.
const maxAnswer = 4 << 10

// Client implements port.ServerHealth.
type Client struct{ http *http.Client }

var _ port.ServerHealth = (*Client)(nil)

// New returns a client. Connections are short-lived: a probe over a new
// connection also notices a server whose old connections became silent.
func New() *Client {
	return &Client{&http.Client{
		Timeout:   2 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswer},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // another address says nothing about this server
		},
	}}
}

// Health implements port.ServerHealth. The error is port.ErrUnavailable if the
// server did not answer, and port.ErrNotFound if it has no such endpoint.
func (c *Client) Health(ctx context.Context, server model.Server) (health.Report, error) {
	if !server.RequestAddress.IsValid() {
		return health.Report{}, merry.Wrap(port.ErrNotFound, merry.AppendMessage("server has no request address"))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.RequestAddress.String()+"/health", nil)
	if err != nil {
		return health.Report{}, merry.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return health.Report{}, merry.Wrap(port.ErrNotFound, merry.AppendMessage("no health endpoint"))
	}
	if resp.StatusCode != http.StatusOK {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.AppendMessagef("status %d", resp.StatusCode))
	}
	return decode(resp.Body)
}

func decode(r io.Reader) (health.Report, error) {
	var in struct {
		State string  `json:"state"`
		Load  float64 `json:"load"`
	}
	if err := json.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(&in); err != nil {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	states := map[string]health.EndpointState{"cold": health.EndpointCold, "warm": health.EndpointWarm,
		"draining": health.EndpointDraining}
	return health.Report{State: states[in.State], Load: max(0, min(in.Load, 1))}, nil
}
