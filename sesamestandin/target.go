package sesamestandin

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesametarget"
)

// Limits of the HTTP interface.
const (
	// maxTargetConnections limits the simultaneous calls to one target.
	maxTargetConnections = 60
	// maxTaskBody limits the size of request bodies, in bytes.
	maxTaskBody = 8 << 20
)

// Violations is the body of GET /v1/violations: the starts that asked for
// accelerators in use.
type Violations struct {
	Count   int      `json:"count"`
	Details []string `json:"details,omitempty"`
}

// Pause is the body of POST /v1/pause.
type Pause struct {
	// DurationMs is the length of the pause in milliseconds, counted from the
	// receipt of the call.
	DurationMs int64 `json:"ms"`
}

// target holds what the handlers of NewTargetHandler share.
type target struct {
	clock clockwork.Clock

	mu    sync.Mutex
	tasks *tasks
	// pausedUntil is the end of the last pause.
	pausedUntil time.Time
}

// NewTargetHandler serves a target with the given description; an empty
// incarnation, the ID of one life of the target, is replaced by a new one.
// Besides the interface of package sesametarget it serves:
//
//	GET  /v1/violations  tasks that asked for accelerators in use
//	GET  /v1/starts      how often each task was started
//	GET  /v1/used        the resources of the running tasks
//	POST /v1/pause       delays all other calls for a while
//
// The calls of this list are never delayed. Leases and tasks run on during a
// pause.
func NewTargetHandler(clock clockwork.Clock, d sesametarget.Description) http.Handler {
	if d.Incarnation == "" {
		d.Incarnation = uuid.NewString()
	}
	t := &target{
		clock: clock,
		tasks: newTasks(d),
	}
	r := chi.NewRouter()
	r.Get("/v1/violations", t.violations)
	r.Get("/v1/starts", t.starts)
	r.Get("/v1/used", t.used)
	r.Post("/v1/pause", t.pause)
	r.Group(func(r chi.Router) {
		r.Use(middleware.Throttle(maxTargetConnections))
		r.Use(t.delayWhilePaused)
		r.Get(sesametarget.TargetPath, t.describe)
		r.Put(sesametarget.LeasePath, t.renew)
		r.Get(sesametarget.TasksPath, t.list)
		r.Put(sesametarget.TasksPath+"/{id}", t.start)
		r.Get(sesametarget.TasksPath+"/{id}/output", t.output)
		r.Post(sesametarget.TasksPath+"/{id}/stop", t.stop)
	})
	return r
}

// delayWhilePaused is middleware that delays calls until the pause is over.
func (t *target) delayWhilePaused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		left := t.pausedUntil.Sub(t.clock.Now())
		t.mu.Unlock()
		if !t.waitFor(r.Context(), left) {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// waitFor waits for d; false means that the client has gone away.
func (t *target) waitFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.clock.After(d):
		return true
	}
}

// pause delays later calls for the time in the body; a new pause replaces the
// last one.
func (t *target) pause(w http.ResponseWriter, r *http.Request) {
	var p Pause
	if !decode(w, r, maxTaskBody, &p) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pausedUntil = t.clock.Now().Add(milliseconds(p.DurationMs))
	w.WriteHeader(http.StatusNoContent)
}

// describe answers with the target's description.
func (t *target) describe(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, t.tasks.description)
}

// renew extends the lease as the body says.
func (t *target) renew(w http.ResponseWriter, r *http.Request) {
	var l sesametarget.Lease
	if !decode(w, r, maxTaskBody, &l) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.tasks.renew(l, t.clock.Now()); err != nil {
		writeTaskError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// taskIDOf returns the task's ID in the path, unescaped.
func taskIDOf(r *http.Request) sesametarget.TaskID {
	id := chi.URLParam(r, "id")
	if plain, err := url.PathUnescape(id); err == nil {
		id = plain
	}
	return sesametarget.TaskID(id)
}

// start starts the task in the body: 201 for a new one, 200 for one that was
// started before.
func (t *target) start(w http.ResponseWriter, r *http.Request) {
	var task sesametarget.Task
	if !decode(w, r, maxTaskBody, &task) {
		return
	}
	if task.ID != taskIDOf(r) {
		writeErrorText(w, http.StatusBadRequest, "task in body and path differ")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	created, err := t.tasks.start(task, t.clock.Now())
	if err != nil {
		writeTaskError(w, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	w.WriteHeader(status)
}

// list answers with the status of all tasks.
func (t *target) list(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, t.tasks.list(t.clock.Now()))
}

// output answers with the output of a task that is done.
func (t *target) output(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	output, err := t.tasks.output(taskIDOf(r), t.clock.Now())
	t.mu.Unlock()
	if err != nil {
		writeTaskError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(output)))
	_, _ = w.Write(output)
}

// stop answers once the task has ended, with its final status.
func (t *target) stop(w http.ResponseWriter, r *http.Request) {
	var s sesametarget.StopRequest
	if !decode(w, r, maxTaskBody, &s) {
		return
	}
	task, err := t.beginStop(taskIDOf(r), milliseconds(s.GraceMs))
	if err != nil {
		writeTaskError(w, err)
		return
	}
	for {
		status, next := t.statusOf(task)
		if status.Phase != sesametarget.PhaseRunning {
			writeJSON(w, http.StatusOK, status)
			return
		}
		if !t.waitFor(r.Context(), next.Sub(t.clock.Now())) {
			return
		}
	}
}

// beginStop orders the stop of a task, which may take up to grace to write a
// checkpoint, and returns the task. The error is that of find.
func (t *target) beginStop(id sesametarget.TaskID, grace time.Duration) (*task, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	found, err := t.tasks.find(id, now)
	if err != nil {
		return nil, err
	}
	found.stop(now, grace)
	return found, nil
}

// statusOf returns the status of a task and when it will end unless its lease is
// extended or it is stopped; a zero time means never.
func (t *target) statusOf(k *task) (sesametarget.Status, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k.endIfDue(t.clock.Now())
	return k.status, k.nextEnd()
}

// violations answers with the starts that asked for accelerators in use.
func (t *target) violations(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, Violations{
		Count:   len(t.tasks.violations),
		Details: t.tasks.violations,
	})
}

// starts answers with the number of starts of each task.
func (t *target) starts(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	writeJSON(w, http.StatusOK, t.tasks.starts)
}

// used answers with the resources of the running tasks.
func (t *target) used(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tasks.endDue(t.clock.Now())
	writeJSON(w, http.StatusOK, t.tasks.used())
}

// writeTaskError answers with the status and the refusal for the error.
func writeTaskError(w http.ResponseWriter, err error) {
	var lease *sesametarget.LeaseError
	var full *sesametarget.BusyError
	var running *sesametarget.NotDoneError
	var missing *sesametarget.NotFoundError
	refusal := sesametarget.Refusal{
		Detail: err.Error(),
	}
	status := http.StatusConflict
	switch {
	case errors.As(err, &lease):
		refusal.Reason = sesametarget.ReasonLease
	case errors.As(err, &full):
		refusal.Reason = sesametarget.ReasonBusy
	case errors.As(err, &running):
		refusal.Reason = sesametarget.ReasonNotDone
	case errors.As(err, &missing):
		status = http.StatusNotFound
	default:
		status = http.StatusInternalServerError
	}
	writeJSON(w, status, refusal)
}
