package telemetry

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	// operatorHeaderTimeout limits how long a client may take to send the request header.
	operatorHeaderTimeout = 5 * time.Second
	// operatorStopTimeout limits how long the shutdown waits for requests in progress.
	operatorStopTimeout = time.Second
)

// Endpoint is a page of the operator address that a program adds. The pattern is that of an http.ServeMux.
type Endpoint struct {
	Pattern string
	Handler http.Handler
}

// OperatorHandler serves the metrics at /debug/vars, liveness at /healthz, readiness at /readyz, and the given
// endpoints. /readyz answers with status 503 and the error while ready returns one.
func OperatorHandler(ready func() error, endpoints ...Endpoint) http.Handler {
	mux := http.NewServeMux()
	for _, endpoint := range endpoints {
		mux.Handle(endpoint.Pattern, endpoint.Handler)
	}
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	return mux
}

// ServeOperator serves OperatorHandler at addr until ctx is done. With the zero address, it only waits for ctx.
func ServeOperator(ctx context.Context, addr netip.AddrPort, ready func() error, endpoints ...Endpoint) error {
	if !addr.IsValid() {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Annotatef(err, "listening on the operator address %s", addr)
	}
	Event("operator_listening", "addr", listener.Addr())
	server := &http.Server{Handler: OperatorHandler(ready, endpoints...), ReadHeaderTimeout: operatorHeaderTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		stopOperator(server)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Annotate(err, "serving on the operator address")
	}
	<-stopped
	return nil
}

func stopOperator(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorStopTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}
