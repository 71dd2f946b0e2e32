// Package process holds what the mains of the stand-ins share: parsing of options, serving of HTTP
// and the stop at a signal.
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

// shutdownTimeout bounds the wait for running HTTP requests at the stop.
const shutdownTimeout = 2 * time.Second

// Parse reads the options of the program and exits when they are bad or only help was wanted.
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

// Main runs a program until it ends or a signal asks it to stop, and exits with its result.
func Main(run func(context.Context) error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	err := run(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Serve serves HTTP/1.1 and HTTP/2 without TLS until the context ends.
func Serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Addr:              address.String(),
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: shutdownTimeout,
	}
	stop := context.AfterFunc(ctx, func() {
		graceful, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(graceful) != nil {
			server.Close()
		}
	})
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
