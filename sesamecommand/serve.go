package sesamecommand

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
)

const (
	// standinDescriptorShare is the part of its descriptors (1 divided by it) that a
	// stand-in's callers may take, and standinBytes the memory for their heads.
	standinDescriptorShare = 2
	standinBytes           = 16 << 20
	// standinDrainTimeout is how long a stand-in waits for open requests when
	// it stops.
	standinDrainTimeout = 10 * time.Second
)

// withHealth adds the health and readiness endpoints of a stand-in, which
// always answer 200: a stand-in is ready as soon as it listens.
func withHealth(h http.Handler) http.Handler {
	r := chi.NewRouter()
	ok := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}
	r.Get("/healthz", ok)
	r.Get("/readyz", ok)
	r.Mount("/", h)
	return r
}

// serveHTTP serves a stand-in's handler until ctx ends, then waits up to
// standinDrainTimeout for open requests.
func serveHTTP(ctx context.Context, address string, h http.Handler, log *sesamelog.Logger) error {
	guard := sesameguard.New(sesameguard.Options{
		Name:        "standin",
		Connections: openFiles() / standinDescriptorShare,
		Bytes:       standinBytes,
		Clock:       clockwork.NewRealClock(),
		Log:         log,
		Scope:       tally.NoopScope,

		KernelBuffers: true,
	})
	listener, err := guard.Listen(ctx, address)
	if err != nil {
		return err
	}
	server := guard.NewServer(withHealth(h))
	log.Emit(eventServing, sesamelog.Fields{
		"http": address,
	})
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinDrainTimeout)
	defer cancel()
	err = errors.CombineErrors(server.Shutdown(drain), group.Wait())
	log.Emit(eventStopped, sesamelog.Fields{
		"error": err,
	})
	return err
}
