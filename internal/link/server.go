package link

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/hibiscuslug/hibiscuslug/internal/guard"
)

// Server accepts connections from other processes.
type Server struct {
	listener net.Listener
	mux      *drpcmux.Mux
	// guard bounds the clients of the server; nil for no bounds.
	guard   *guard.Guard
	cancel  context.CancelFunc
	running conc.WaitGroup
	bytes   traffic
}

// Listen listens on an address. Register services on Mux before Start.
func Listen(address string) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &Server{listener: listener, mux: drpcmux.New()}, nil
}

// Bound limits what the clients of the server may use. It is called before Start.
func (server *Server) Bound(bounds *guard.Guard, share float64) {
	server.guard = bounds
	server.listener = bounds.Listen(server.listener, guard.Options{Name: "peers", Share: share})
}

// Mux returns the multiplexer on which services are registered.
func (server *Server) Mux() *drpcmux.Mux {
	return server.mux
}

// Address returns the listening address.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Bytes returns the bytes received and sent on all connections to the server.
func (server *Server) Bytes() (in, out int64) { return server.bytes.total() }

// Start serves until Close.
func (server *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	server.cancel = cancel
	handler := drpcserver.NewWithOptions(server.mux, drpcserver.Options{Manager: managerOptions()})
	server.running.Go(func() {
		if err := handler.Serve(ctx, &countedListener{Listener: server.listener, bytes: &server.bytes}); server.guard != nil {
			server.guard.Served("peers", err)
		}
	})
}

// Close cancels all calls and waits for them to end.
func (server *Server) Close() error {
	if server.cancel == nil {
		return server.listener.Close()
	}
	server.cancel()
	server.running.Wait()
	return nil
}
