package sesamestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesametable"
)

// Versioned is a value with the version of the row that it was read from, for
// optimistic concurrency. Version 0 means that the row does not exist yet.
type Versioned[T any] struct {
	Value   T
	Version uint64
}

// With returns the new value with the version that was read, so that writing it
// fails if the row has changed since.
func (v Versioned[T]) With(value T) Versioned[T] {
	v.Value = value
	return v
}

// Store reads and writes the values of sesamemodel in the platform's table.
type Store struct {
	table   sesametable.Table
	objects sesametable.Objects
}

// New returns a store that uses the platform's table and object store.
func New(table sesametable.Table, objects sesametable.Objects) *Store {
	return &Store{
		table:   table,
		objects: objects,
	}
}

// Objects returns the object store, which holds payloads and results.
func (s *Store) Objects() sesametable.Objects {
	return s.objects
}

// DecodeError says that a row's value can't be decoded as the type that its key
// implies, or that a value can't be encoded.
type DecodeError struct {
	Key   string
	Cause error
}

// Error names the row and the cause.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("row %q cannot be decoded: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error {
	return e.Cause
}

const (
	// The prefixes and keys of rows; see the package comment for the layout.
	openPrefix         = "open/"
	donePrefix         = "done/"
	cellPrefix         = "cell/"
	memberPrefix       = "member/"
	contractHeadKey    = "contract/head"
	teamContractPrefix = "contract/team/"
	contractLogPrefix  = "contract/log/"
)

// PayloadKey returns the key of the object with a job's input. The digest of
// the request is part of the key, so a request that reuses a job's idempotency
// key with another body never replaces the job's input.
func PayloadKey(id sesamemodel.JobID, request string) string {
	return "payload/" + string(id) + "/" + request
}

// ResultKey returns the key of the object with the output of one task: the task
// with that rank, in that attempt of the job.
func ResultKey(id sesamemodel.JobID, attempt uint32, rank int) string {
	return fmt.Sprintf("result/%s/%d/%d", id, attempt, rank)
}

// regionSeparator separates the region from the digest in a job's ID.
const regionSeparator = "."

// RegionOf returns the region that a job's ID starts with, or the whole ID if it
// has no regionSeparator.
func RegionOf(id sesamemodel.JobID) string {
	region, _, _ := strings.Cut(string(id), regionSeparator)
	return region
}

// NewJobID returns the ID of a job in a region; digest stands for its team and
// idempotency key.
func NewJobID(region, digest string) sesamemodel.JobID {
	return sesamemodel.JobID(region + regionSeparator + digest)
}

const (
	// teamDigestLength and keyDigestLength are the lengths of the two parts of a
	// job's digest, in hexadecimal digits.
	teamDigestLength = 16
	keyDigestLength  = 32
)

// JobIDFor returns the ID of the job that a team's idempotency key stands for
// in a region. The ID's digest starts with a digest of the team, so that the
// rows of a team's open jobs are next to each other in the table.
func JobIDFor(region string, team sesamemodel.TeamID, key string) sesamemodel.JobID {
	return NewJobID(region, teamDigest(team)+hexDigest(string(team) + "\x00" + key)[:keyDigestLength])
}

// ValidJobID reports whether the ID has the form that JobIDFor gives to IDs of
// the region.
func ValidJobID(region string, id sesamemodel.JobID) bool {
	digest, ok := strings.CutPrefix(string(id), region+regionSeparator)
	if !ok || len(digest) != teamDigestLength+keyDigestLength {
		return false
	}
	return strings.Trim(digest, "0123456789abcdef") == ""
}

// OwnedBy reports whether the ID contains the team's digest, as the IDs of that
// team's jobs do. It does not read the job.
func OwnedBy(id sesamemodel.JobID, team sesamemodel.TeamID) bool {
	_, digest, _ := strings.Cut(string(id), regionSeparator)
	return strings.HasPrefix(digest, teamDigest(team))
}

// teamDigest returns the part of a job's ID that depends on the team only.
func teamDigest(team sesamemodel.TeamID) string {
	return hexDigest(string(team))[:teamDigestLength]
}

// hexDigest returns the SHA-256 digest in hexadecimal.
func hexDigest(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// OpenKey returns the key of the row of a job that has not ended.
func OpenKey(id sesamemodel.JobID) string {
	return openPrefix + RegionOf(id) + "/" + string(id)
}

// DoneKey returns the key of the row of a job that has ended.
func DoneKey(id sesamemodel.JobID) string {
	return donePrefix + string(id)
}

// CellKey returns the key of the row of a cell, which is a group of
// neighbouring targets.
func CellKey(id sesamemodel.CellID) string {
	return cellPrefix + string(id)
}

// JobOfKey returns the job ID in a key of the form that OpenKey makes (the row
// of a job that has not ended), and false for any other key. It does not check
// that the row exists.
func JobOfKey(key string) (sesamemodel.JobID, bool) {
	rest, ok := strings.CutPrefix(key, openPrefix)
	if !ok {
		return "", false
	}
	_, id, ok := strings.Cut(rest, "/")
	return sesamemodel.JobID(id), ok
}

// CellOfKey returns the cell ID in a key of the form that CellKey makes, and
// false for any other key. It does not check that the row exists.
func CellOfKey(key string) (sesamemodel.CellID, bool) {
	id, ok := strings.CutPrefix(key, cellPrefix)
	return sesamemodel.CellID(id), ok
}

// decode decodes the row's JSON value, or returns a *DecodeError.
func decode[T any](row sesametable.Row) (Versioned[T], error) {
	var value T
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return Versioned[T]{}, &DecodeError{
			Key:   row.Key,
			Cause: err,
		}
	}
	return Versioned[T]{
		Value:   value,
		Version: row.Version,
	}, nil
}

// get reads and decodes one row, or returns a *sesametable.NotFoundError.
func get[T any](ctx context.Context, t sesametable.Table, key string) (Versioned[T], error) {
	row, err := t.Get(ctx, key)
	if err != nil {
		return Versioned[T]{}, err
	}
	return decode[T](row)
}

// scan reads and decodes all rows whose keys start with prefix. It fails with a
// *DecodeError if any of them can't be decoded.
func scan[T any](ctx context.Context, t sesametable.Table, prefix string) ([]Versioned[T], error) {
	rows, err := sesametable.ScanAll(ctx, t, prefix)
	if err != nil {
		return nil, err
	}
	values := make([]Versioned[T], 0, len(rows))
	for _, row := range rows {
		value, err := decode[T](row)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	return values, nil
}

// isNotFound reports whether err says that a row does not exist.
func isNotFound(err error) bool {
	var missing *sesametable.NotFoundError
	return errors.As(err, &missing)
}

// Job returns the job, open or ended, or a *sesametable.NotFoundError. The open
// row is read first, then the ended one. A job moves only from open to ended,
// so reading the open row once more finds a job that was submitted between the
// first two reads.
func (s *Store) Job(ctx context.Context, id sesamemodel.JobID) (Versioned[sesamemodel.Job], error) {
	for _, key := range []string{OpenKey(id), DoneKey(id)} {
		job, err := get[sesamemodel.Job](ctx, s.table, key)
		if err == nil || !isNotFound(err) {
			return job, err
		}
	}
	return get[sesamemodel.Job](ctx, s.table, OpenKey(id))
}

// OpenJobs returns all jobs of the region that have not ended.
func (s *Store) OpenJobs(ctx context.Context, region string) ([]Versioned[sesamemodel.Job], error) {
	return scan[sesamemodel.Job](ctx, s.table, openPrefix+region+"/")
}

// TeamJobs returns the team's jobs of the region that have not ended.
func (s *Store) TeamJobs(ctx context.Context, region string, team sesamemodel.TeamID) ([]Versioned[sesamemodel.Job], error) {
	prefix := openPrefix + region + "/" + string(NewJobID(region, teamDigest(team)))
	return scan[sesamemodel.Job](ctx, s.table, prefix)
}

// Cells returns all cells of the region.
func (s *Store) Cells(ctx context.Context, region string) ([]Versioned[sesamemodel.Cell], error) {
	return scan[sesamemodel.Cell](ctx, s.table, cellPrefix+region+"/")
}

// Cell returns one cell, or a *sesametable.NotFoundError.
func (s *Store) Cell(ctx context.Context, id sesamemodel.CellID) (Versioned[sesamemodel.Cell], error) {
	return get[sesamemodel.Cell](ctx, s.table, CellKey(id))
}

// Members returns every entry (a process that serves callers and plans) that
// has announced itself and was not removed since, whether it still runs or not.
func (s *Store) Members(ctx context.Context) ([]Versioned[sesamemodel.Member], error) {
	return scan[sesamemodel.Member](ctx, s.table, memberPrefix)
}

// PutMember writes the row by which an entry announces itself and stays a
// member; errors are those of sesametable.Table.Commit.
func (s *Store) PutMember(ctx context.Context, m Versioned[sesamemodel.Member]) error {
	put, err := encode(memberPrefix+m.Value.ID, m)
	if err != nil {
		return err
	}
	return s.table.Commit(ctx, sesametable.Transaction{
		Puts: []sesametable.Put{put},
	})
}

// Submit creates the job. It returns a *sesametable.ConflictError when a job
// with this ID exists, open or ended.
func (s *Store) Submit(ctx context.Context, job sesamemodel.Job) error {
	put, err := encode(OpenKey(job.ID), Versioned[sesamemodel.Job]{
		Value: job,
	})
	if err != nil {
		return err
	}
	return s.table.Commit(ctx, sesametable.Transaction{
		Checks: []sesametable.Check{
			{
				Key: DoneKey(job.ID),
			},
		},
		Puts: []sesametable.Put{put},
	})
}

// Batch is a set of changes that take effect in one transaction. If a row no
// longer has the version at which its value was read, none takes effect.
type Batch struct {
	// Jobs must have been open when read. A job whose new state has ended moves
	// to the row under DoneKey.
	Jobs  []Versioned[sesamemodel.Job]
	Cells []Versioned[sesamemodel.Cell]
}

// Update commits the batch; errors are those of sesametable.Table.Commit.
func (s *Store) Update(ctx context.Context, b Batch) error {
	var t sesametable.Transaction
	for _, job := range b.Jobs {
		if err := addJobWrites(&t, job); err != nil {
			return err
		}
	}
	for _, cell := range b.Cells {
		put, err := encode(CellKey(cell.Value.ID), cell)
		if err != nil {
			return err
		}
		t.Puts = append(t.Puts, put)
	}
	return s.table.Commit(ctx, t)
}

// addJobWrites adds the writes of a job that was open when read: a put of its
// open row, or a put of its ended row and the removal of the open one.
func addJobWrites(t *sesametable.Transaction, job Versioned[sesamemodel.Job]) error {
	id := job.Value.ID
	if !job.Value.State.Ended() {
		put, err := encode(OpenKey(id), job)
		t.Puts = append(t.Puts, put)
		return err
	}
	put, err := encode(DoneKey(id), Versioned[sesamemodel.Job]{
		Value: job.Value,
	})
	t.Puts = append(t.Puts, put)
	t.Deletes = append(t.Deletes, sesametable.Delete{
		Key:     OpenKey(id),
		Version: job.Version,
	})
	return err
}

// Resolve writes the row of a job that has ended, with the outcome that an
// operator gave; errors are those of sesametable.Table.Commit.
func (s *Store) Resolve(ctx context.Context, job Versioned[sesamemodel.Job]) error {
	put, err := encode(DoneKey(job.Value.ID), job)
	if err != nil {
		return err
	}
	return s.table.Commit(ctx, sesametable.Transaction{
		Puts: []sesametable.Put{put},
	})
}

// encode returns a put of the value as JSON, on the condition that the row still
// has the version read. It returns a *DecodeError if the value can't be encoded.
func encode[T any](key string, v Versioned[T]) (sesametable.Put, error) {
	value, err := json.Marshal(v.Value)
	if err != nil {
		return sesametable.Put{}, &DecodeError{
			Key:   key,
			Cause: err,
		}
	}
	return sesametable.Put{
		Key:     key,
		Version: v.Version,
		Value:   value,
	}, nil
}
