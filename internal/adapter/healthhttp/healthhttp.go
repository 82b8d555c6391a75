// Package healthhttp reads the health endpoints of backend servers. Their
// answers may be late or wrong; core/health decides what they count for.
package healthhttp

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/health"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

// maxAnswer bounds an answer in bytes. A correct one has under 100.
const maxAnswer = 4096

// Client implements port.ServerHealth.
type Client struct{ http *http.Client }

var _ port.ServerHealth = (*Client)(nil)

// New returns a client. It opens a connection for each question: a question
// every few seconds needs no open connection, and a new one is never silent.
func New() *Client {
	return &Client{http: &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxAnswer},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse // another address says nothing about this server
		},
	}}
}

// Health implements port.ServerHealth. The error is port.ErrUnavailable if the
// server does not answer before the context ends, or answers something else.
func (c *Client) Health(ctx context.Context, server model.Server) (health.Report, error) {
	if _, limited := ctx.Deadline(); !limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Second)
		defer cancel()
	}
	target := url.URL{Scheme: "http", Host: server.RequestAddress.String(), Path: "/health"}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return health.Report{}, merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.AppendMessagef("status %d", response.StatusCode))
	}
	return decode(io.LimitReader(response.Body, maxAnswer))
}

func decode(body io.Reader) (health.Report, error) {
	var answer struct {
		State string  `json:"state"`
		Load  float64 `json:"load"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return health.Report{}, merry.Wrap(port.ErrUnavailable, merry.WithCause(err))
	}
	report := health.Report{Load: math.Max(0, math.Min(answer.Load, 1))}
	switch answer.State {
	case "cold":
		report.State = health.EndpointCold
	case "warm":
		report.State = health.EndpointWarm
	case "draining":
		report.State = health.EndpointDraining
	}
	return report, nil
}
