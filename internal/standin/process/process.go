// Package process provides what the main functions of the stand-ins share: parsing options, serving HTTP, and
// stopping on a signal.
package process

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/bramleyrack/bramleyrack/internal/options"
)

// httpTimeout limits the time to read a request header, and the wait for running requests on shutdown.
const httpTimeout = 2 * time.Second

// Parse parses the options of the program. It exits with options.UsageExitCode if they are
// invalid, and with status 0 after printing help or the version.
func Parse(set *options.Set) {
	err := set.Parse(os.Args[1:])
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp), errors.Is(err, options.ErrVersion):
		os.Exit(0)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(options.UsageExitCode)
	}
}

// Main runs a program and cancels its context on SIGINT or SIGTERM. It exits with status 1 if run fails.
func Main(run func(context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Serve serves HTTP/1.1 and HTTP/2 without TLS until ctx ends.
func Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Addr:              address.String(),
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: httpTimeout,
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), httpTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
