// Package standin runs the stand-ins for the outside systems as processes.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/standin/backend"
	"github.com/savorytiller/savorytiller/internal/standin/deployment"
	"github.com/savorytiller/savorytiller/internal/standin/fabric"
	"github.com/savorytiller/savorytiller/internal/standin/platform"
)

// RunPlatform serves the platform stand-in until the context ends. It writes
// its address to the report file.
func RunPlatform(ctx context.Context, lag time.Duration, reportFile string) error {
	p := platform.New(lag, time.Now)
	go p.Run(ctx)
	return serve(ctx, p.Handler(), reportFile, nil)
}

// RunFabric forwards packets until the context ends.
func RunFabric(ctx context.Context, options fabric.Options, reportFile string) error {
	f, err := fabric.New(options)
	if err != nil {
		return err
	}
	go f.WatchInstances(ctx)
	if err := report(reportFile, f.Address().String()); err != nil {
		return err
	}
	if err := f.Run(); ctx.Err() == nil {
		return err
	}
	return nil
}

// RunBackend runs the servers of a deployment until the context ends. It writes
// the first release note, which names them all, to the note file.
func RunBackend(ctx context.Context, name string, seed uint64, noteFile, reportFile string) error {
	d, err := deployment.Get(name)
	if err != nil {
		return err
	}
	fleet, err := backend.NewFleet(ctx, d, seed)
	if err != nil {
		return err
	}
	go fleet.Run(ctx)
	note, err := json.MarshalIndent(fleet.InitialNote(), "", "  ")
	if err != nil {
		return merry.Wrap(err)
	}
	return serve(ctx, fleet.Handler(), reportFile, func() error { return report(noteFile, string(note)) })
}

func serve(ctx context.Context, handler http.Handler, reportFile string, ready func() error) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if ready != nil {
		if err := ready(); err != nil {
			return err
		}
	}
	if err := report(reportFile, listener.Addr().String()); err != nil {
		return err
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Wrap(err)
	}
	return nil
}

// report writes a file in one step, so that a script that waits for the file
// never reads a part of it.
func report(file, content string) error {
	if file == "" {
		_, err := fmt.Println(strings.TrimSpace(content))
		return err
	}
	if err := os.WriteFile(file+".new", []byte(content+"\n"), 0o644); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.Rename(file+".new", file))
}
