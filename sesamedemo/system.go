package sesamedemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameagent"
	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamecontract"
	"github.com/sesamestack/sesamestack/sesameentry"
	"github.com/sesamestack/sesamestack/sesameguard"
	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametarget"
	"github.com/sesamestack/sesamestack/sesamewire"
)

// Settings of the demonstration's processes.
const (
	// The place of all entries and targets.
	region = "magdalena"
	zone   = "a"

	// Name and token of the operator who applies the contracts.
	operator      = "ana"
	operatorToken = "example-ana"

	// loopback is the listen address: the system chooses a free port of this
	// VM.
	loopback = "127.0.0.1:0"
	// heartbeat is short, so that targets register at once.
	heartbeat = 200 * time.Millisecond
	// stopGrace is how long a stopped task may take to write its checkpoint.
	stopGrace = 500 * time.Millisecond
	// drainTimeout bounds the shutdown of an agent. Agents stop only after all
	// jobs have ended, so that there is no work to wait for.
	drainTimeout = 2 * time.Second
	// targetConnections and targetBytes bound what callers of a target may take.
	targetConnections = 64
	targetBytes       = 1 << 20
)

// system holds the entries, agents and targets of the demonstration, which run
// as goroutines of one group.
type system struct {
	group *errgroup.Group
	// targets counts the agents that have not stopped.
	targets sync.WaitGroup
	clock   clockwork.Clock
	log     *sesamelog.Logger
	store   *sesamestandin.Store
	// entries are the base URLs for callers, wireAddresses the addresses at
	// which the entries listen for agents.
	entries       []string
	wireAddresses []string
}

// newSystem returns a system without entries and targets whose goroutines will
// run in the group.
func newSystem(group *errgroup.Group, log *sesamelog.Logger) *system {
	clock := clockwork.NewRealClock()
	return &system{
		group: group,
		clock: clock,
		log:   log,
		store: sesamestandin.NewStore(clock),
	}
}

// listen opens a listener on a free port.
func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", loopback)
}

// freeAddress returns an address with a port that is free now. Another process
// may take it before it is used.
func freeAddress(ctx context.Context) (string, error) {
	l, err := listen(ctx)
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// leaseSettings returns the default lease settings with a shorter heartbeat
// and a shorter grace period for stops.
func leaseSettings() sesamesettings.Leases {
	l := sesamesettings.DefaultLeases()
	l.Heartbeat = heartbeat
	l.Grace = stopGrace
	return l
}

// startEntry starts an entry that serves until ctx ends.
func (s *system) startEntry(ctx context.Context, id string) error {
	public, err := listen(ctx)
	if err != nil {
		return err
	}
	private, err := listen(ctx)
	if err != nil {
		return errors.CombineErrors(err, public.Close())
	}
	settings := sesamesettings.DefaultEntry()
	settings.ID = id
	settings.Place.Region = region
	settings.Place.Zone = zone
	settings.HTTP = public.Addr().String()
	settings.Wire = private.Addr().String()
	settings.Leases = leaseSettings()
	settings.Operators = map[string]string{
		operator: sesamecontract.Digest(operatorToken),
	}
	entry, err := sesameentry.New(settings, sesameentry.Deps{
		Table:   s.store,
		Objects: s.store,
		Dialer:  sesamewire.NewDialer(sesamewire.DialOptions{}),
		Clock:   s.clock,
		Log:     s.log,
		Scope:   tally.NoopScope,
	})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, "http://"+settings.HTTP)
	s.wireAddresses = append(s.wireAddresses, settings.Wire)
	s.group.Go(func() error {
		return entry.Serve(ctx, public, private)
	})
	return nil
}

// targetSpec describes one target of the demonstration.
type targetSpec struct {
	id       string
	kind     sesamemodel.Kind
	rack     string
	capacity sesamemodel.Resources
}

// startTarget starts a simulated target and its agent, which runs until ctx
// ends. The target is closed after its agent has left and stopped.
func (s *system) startTarget(ctx context.Context, p targetSpec) error {
	target, err := s.serveTarget(ctx, p)
	if err != nil {
		return err
	}
	wire, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	public, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	settings := sesamesettings.DefaultAgent()
	settings.ID = p.id
	settings.Kind = string(p.kind)
	settings.Place.Region = region
	settings.Place.Zone = zone
	settings.Place.Rack = p.rack
	settings.Wire = wire
	settings.HTTP = public
	settings.Entries = s.wireAddresses
	settings.TargetURL = "http://" + target.Addr
	settings.Leases = leaseSettings()
	settings.DrainTimeout = drainTimeout
	agent := sesameagent.New(settings, sesameagent.Deps{
		Target:  sesametarget.NewClient(settings.TargetURL, &http.Client{}),
		Objects: s.store,
		Dialer:  sesamewire.NewDialer(sesamewire.DialOptions{}),
		Clock:   s.clock,
		Log:     s.log,
		Scope:   tally.NoopScope,
	})
	s.targets.Add(1)
	s.group.Go(func() error {
		defer s.targets.Done()
		err := agent.Run(ctx)
		return errors.CombineErrors(err, target.Close())
	})
	return nil
}

// serveTarget serves a simulated target on a free port until it is closed.
func (s *system) serveTarget(ctx context.Context, p targetSpec) (*http.Server, error) {
	guard := sesameguard.New(sesameguard.Options{
		Name:        "target",
		Connections: targetConnections,
		Bytes:       targetBytes,
		Clock:       s.clock,
		Log:         s.log,
		Scope:       tally.NoopScope,
	})
	listener, err := guard.Listen(ctx, loopback)
	if err != nil {
		return nil, err
	}
	server := guard.NewServer(sesamestandin.NewTargetHandler(s.clock, sesametarget.Description{
		Kind:     p.kind,
		Capacity: p.capacity,
	}))
	server.Addr = listener.Addr().String()
	s.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return server, nil
}

// client returns an API client that uses all entries, with the given token.
func (s *system) client(token string) *sesameapi.Client {
	return sesameapi.NewClient(sesameapi.ClientOptions{
		Addresses: s.entries,
		Token:     token,
	})
}

// contractsInForce reports whether every entry uses the contracts of the
// change with this number, or of a later one.
func (s *system) contractsInForce(ctx context.Context, number uint64) (bool, error) {
	for _, entry := range s.entries {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/readyz", nil)
		if err != nil {
			return false, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false, err
		}
		var readiness sesameapi.Readiness
		err = json.NewDecoder(response.Body).Decode(&readiness)
		err = errors.CombineErrors(err, response.Body.Close())
		if err != nil || readiness.ContractNumber < number {
			return false, err
		}
	}
	return true, nil
}

// TimeoutError reports that a condition did not hold within the time limit.
type TimeoutError struct {
	// Condition names the event that was awaited.
	Condition string
	Limit     time.Duration
}

// Error names the condition and the time limit.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s did not happen within %s", e.Condition, e.Limit)
}

// Time limits of waits in the demonstration.
const (
	// waitTimeout bounds each wait for a condition or for the end of all jobs;
	// pollInterval is the time between two checks of a condition.
	waitTimeout  = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

// eventually calls holds every pollInterval until holds returns true. The error is
// a *TimeoutError after waitTimeout, which names the condition, ctx's error, or the
// first error of holds.
func (s *system) eventually(ctx context.Context, condition string, holds func() (bool, error)) error {
	deadline := s.clock.NewTimer(waitTimeout)
	defer deadline.Stop()
	poll := s.clock.NewTicker(pollInterval)
	defer poll.Stop()
	for {
		done, err := holds()
		if done || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-deadline.Chan():
			return &TimeoutError{
				Condition: condition,
				Limit:     waitTimeout,
			}
		case <-poll.Chan():
		}
	}
}
