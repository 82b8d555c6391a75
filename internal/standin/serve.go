// Package standin runs stand-ins for the external systems: the platform, the
// network fabric and the backend servers. Each function runs one process.
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
// its address to the report file, or to standard output if the name is empty.
func RunPlatform(ctx context.Context, lag time.Duration, reportFile string) error {
	p := platform.New(lag, time.Now)
	go p.Run(ctx)
	return serve(ctx, p.Handler(), reportFile, nil)
}

// RunFabric runs the fabric stand-in until the context ends. It writes its
// address to the report file, or to standard output if the name is empty.
func RunFabric(ctx context.Context, options fabric.Options, reportFile string) error {
	f, err := fabric.New(options)
	if err != nil {
		return err
	}
	go f.WatchInstances(ctx)
	if err := writeAtomically(reportFile, f.Address().String()); err != nil {
		return err
	}
	if err := f.Run(); ctx.Err() == nil {
		return err
	}
	return nil
}

// RunBackend runs the backend servers of a deployment until the context ends. It
// writes the first release note, which lists all servers, to the note file and the
// address of its control endpoint to the report file. An empty file name means
// standard output.
func RunBackend(ctx context.Context, name string, seed uint64, noteFile, reportFile string) error {
	d, err := deployment.Get(name)
	if err != nil {
		return err
	}
	servers, err := backend.NewServerSet(ctx, d, seed)
	if err != nil {
		return err
	}
	go servers.Run(ctx)
	note, err := json.MarshalIndent(servers.InitialNote(), "", "  ")
	if err != nil {
		return merry.Wrap(err)
	}
	return serve(ctx, servers.Handler(), reportFile, func() error { return writeAtomically(noteFile, string(note)) })
}

// serve runs an HTTP server on loopback until the context ends. It calls
// onListening, if not nil, before it writes its address to the report file.
func serve(ctx context.Context, handler http.Handler, reportFile string, onListening func() error) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return merry.Wrap(err)
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if onListening != nil {
		if err := onListening(); err != nil {
			return err
		}
	}
	if err := writeAtomically(reportFile, listener.Addr().String()); err != nil {
		return err
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return merry.Wrap(err)
	}
	return nil
}

// writeAtomically writes a file and renames it into place, so that a script that
// waits for the file never reads a part of it. Without a file name it writes to
// standard output.
func writeAtomically(file, content string) error {
	if file == "" {
		_, err := fmt.Println(strings.TrimSpace(content))
		return err
	}
	if err := os.WriteFile(file+".new", []byte(content+"\n"), 0o644); err != nil {
		return merry.Wrap(err)
	}
	return merry.Wrap(os.Rename(file+".new", file))
}
