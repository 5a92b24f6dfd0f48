package sesamestandin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesametable"
)

// Limits of the HTTP interface.
const (
	// maxCommitBody and maxObjectBody limit the sizes of request bodies, in
	// bytes.
	maxCommitBody = 16 << 20
	maxObjectBody = 256 << 20
)

// platform holds what the handlers of NewPlatformHandler share.
type platform struct {
	store *Store
	log   *sesamelog.Logger
}

// NewPlatformHandler serves the store over HTTP:
//
//	GET  /v1/rows/{key}       one row
//	GET  /v1/rows             rows by the query's prefix, after and limit
//	POST /v1/commit           a transaction; 409 with a sesametable.Conflict
//	PUT  /v1/objects/{key}    stores the body
//	GET  /v1/objects/{key}    an object's bytes
//	GET  /v1/counters         Counters
//	POST /v1/faults           a FaultsRequest replaces the faults
//
// A call that is refused has no effect and is answered with 503, or with 429
// if it exceeds the rate. When a fault loses the answer, the connection is
// closed without one.
func NewPlatformHandler(store *Store, log *sesamelog.Logger) http.Handler {
	p := &platform{
		store: store,
		log:   log,
	}
	r := chi.NewRouter()
	r.Get(sesametable.RowsPath, p.scan)
	r.Get(sesametable.RowsPath+"/*", p.row)
	r.Post(sesametable.CommitPath, p.commit)
	r.Put(sesametable.ObjectsPath+"/*", p.putObject)
	r.Get(sesametable.ObjectsPath+"/*", p.object)
	r.Get("/v1/counters", p.counters)
	r.Post("/v1/faults", p.faults)
	return r
}

// keyOf returns the key at the end of the path, unescaped.
func keyOf(r *http.Request) string {
	key := chi.URLParam(r, "*")
	if r.URL.RawPath == "" {
		return key
	}
	plain, err := url.PathUnescape(key)
	if err != nil {
		return key
	}
	return plain
}

// row answers with one row.
func (p *platform) row(w http.ResponseWriter, r *http.Request) {
	row, err := p.store.Get(r.Context(), keyOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

// scan answers with the rows by the query's prefix, after and limit.
func (p *platform) scan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	found, err := p.store.Scan(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

// commit applies the transaction in the body.
func (p *platform) commit(w http.ResponseWriter, r *http.Request) {
	var t sesametable.Transaction
	if !decode(w, r, maxCommitBody, &t) {
		return
	}
	if err := p.store.Commit(r.Context(), t); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// putObject stores the body as an object.
func (p *platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBody))
	if err != nil {
		writeErrorText(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if err := p.store.PutObject(r.Context(), keyOf(r), body); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// object answers with the bytes of an object.
func (p *platform) object(w http.ResponseWriter, r *http.Request) {
	body, length, err := p.store.GetObject(r.Context(), keyOf(r))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	_, _ = io.Copy(w, body)
	_ = body.Close()
}

// counters answers with the store's Counters.
func (p *platform) counters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.store.Counters())
}

// faults replaces the store's faults by those of the body and logs them.
func (p *platform) faults(w http.ResponseWriter, r *http.Request) {
	var request FaultsRequest
	if !decode(w, r, maxCommitBody, &request) {
		return
	}
	p.store.SetFaults(request.Faults())
	p.log.Emit(eventFaults, sesamelog.Fields{
		"faults": request,
	})
	w.WriteHeader(http.StatusNoContent)
}

// writeError answers with the status of the error, and closes the connection
// without an answer when the outcome is to stay unknown.
func writeError(w http.ResponseWriter, err error) {
	var conflict *sesametable.ConflictError
	var missing *sesametable.NotFoundError
	var malformed *sesametable.InvalidError
	var unavailable *sesametable.UnavailableError
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, sesametable.Conflict{
			Key:      conflict.Key,
			Expected: conflict.Expected,
			Found:    conflict.Found,
		})
	case errors.As(err, &missing):
		writeErrorText(w, http.StatusNotFound, err.Error())
	case errors.As(err, &malformed):
		writeErrorText(w, http.StatusBadRequest, err.Error())
	case errors.As(err, &unavailable):
		writeUnavailable(w, unavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}

// writeUnavailable answers with 429 when the rate is exceeded and 503
// otherwise, and with the time to wait in whole seconds if there is one.
func writeUnavailable(w http.ResponseWriter, err *sesametable.UnavailableError) {
	status := http.StatusServiceUnavailable
	var throttled *sesametable.ThrottledError
	if errors.As(err, &throttled) {
		status = http.StatusTooManyRequests
	}
	if err.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(err.RetryAfter/time.Second)))
	}
	writeErrorText(w, status, err.Error())
}

// writeErrorText answers with an error status and a plain text.
func writeErrorText(w http.ResponseWriter, status int, detail string) {
	http.Error(w, detail, status)
}

// writeJSON answers with the value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// decode reads a JSON body of at most limit bytes. It returns false after it
// has answered an invalid body with 400.
func decode(w http.ResponseWriter, r *http.Request, limit int64, value any) bool {
	body := http.MaxBytesReader(w, r.Body, limit)
	if err := json.NewDecoder(body).Decode(value); err != nil {
		writeErrorText(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
