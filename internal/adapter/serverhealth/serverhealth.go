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

// maxAnswerBytes limits the header and the body of an answer, each.
const maxAnswerBytes = 4 << 10

// Client implements port.ServerHealth.
type Client struct{ http *http.Client }

var _ port.ServerHealth = (*Client)(nil)

// New returns a client. It opens a new connection for each read, so that the result
// does not depend on an old connection that has stopped responding.
func New() *Client {
	return &Client{&http.Client{
		Timeout:   2 * time.Second,
		Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // the health of another address says nothing about this server
		},
	}}
}

// Health implements port.ServerHealth. The error is port.ErrNotFound if the server has
// no request address or no health endpoint (status 404), and port.ErrUnavailable if it
// does not give a valid answer.
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
	return decodeReport(resp.Body)
}

// decodeReport decodes an answer. An unknown state gives EndpointUnknown; the load is
// limited to the range from 0 to 1.
func decodeReport(r io.Reader) (health.Report, error) {
	var in struct {
		State string  `json:"state"`
		Load  float64 `json:"load"`
	}
	if err := json.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(&in); err != nil {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	states := map[string]health.EndpointState{"cold": health.EndpointCold, "warm": health.EndpointWarm,
		"draining": health.EndpointDraining}
	return health.Report{State: states[in.State], Load: max(0, min(in.Load, 1))}, nil
}
