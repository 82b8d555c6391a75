package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/admin"
)

// errUnreachable means that the instance sent no response or an unexpected one.
var errUnreachable = errors.New("instance unreachable")

// maxResponseBytes bounds a response. The status of 30,000 servers takes about 8 MB.
const maxResponseBytes = 64 << 20

// client reads the endpoints of one instance.
type client struct {
	ctx     context.Context
	address string
	timeout time.Duration
}

// get requests an endpoint and decodes the JSON response into the given value. It
// returns errUnreachable unless the address or the query is wrong.
func (c client) get(path string, query url.Values, into any) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return fmt.Errorf("address %q: %w", c.address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreachable, err)
	}
	defer response.Body.Close()
	body := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if response.StatusCode != http.StatusOK {
		var problem admin.Problem
		if err := body.Decode(&problem); err != nil || problem.Error == "" {
			return fmt.Errorf("%w: %s answered %s", errUnreachable, c.address, response.Status)
		}
		if response.StatusCode == http.StatusBadRequest {
			return errors.New(problem.Error)
		}
		return fmt.Errorf("%w: %s answered: %s", errUnreachable, c.address, problem.Error)
	}
	if err := body.Decode(into); err != nil {
		return fmt.Errorf("%w: response of %s: %w", errUnreachable, c.address, err)
	}
	return nil
}
