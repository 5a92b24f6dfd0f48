package sesameguard

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pageBytes is the size of the pages that a body is read into, after a first
	// one of freeBytes. A body never has to be copied while it grows.
	pageBytes = 16 << 10
	// bodyCost is the memory for each byte of a body beyond freeBytes: the page,
	// its copy for decoding, and the job with its rows until the store has them.
	bodyCost = 3
)

// Body is a request's body that has been read.
type Body struct {
	pages [][]byte
	size  int64
	guard *Guard
}

// ReadBody reads a body of at most limit bytes within the time of ctx. What it
// takes counts as held until the handler returns. Errors are a
// *BodyTooLargeError, *StalledBodyError, *NoRoomError or *BodyError.
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		return nil, &BodyTooLargeError{
			Limit: limit,
		}
	}
	deadline, _ := ctx.Deadline()
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &BodyError{
			Cause: err,
		}
	}
	c := connOf(r.Context())
	b := &Body{}
	if c != nil {
		b.guard = c.guard
	}
	if err := b.read(ctx, c, http.MaxBytesReader(w, r.Body, limit), r.ContentLength); err != nil {
		return nil, bodyFailure(c, err, b.size)
	}
	if c != nil {
		c.dropTrailers()
		if !c.beginHandling() {
			return nil, c.guard.noRoom(eventNoRoom)
		}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, &BodyError{
			Cause: err,
		}
	}
	return b, nil
}

// read reads the body to its end, page after page. length is the declared one,
// negative if there is none.
func (b *Body) read(ctx context.Context, c *conn, from io.Reader, length int64) error {
	var page []byte
	for {
		if len(page) == cap(page) {
			size, err := b.nextPage(ctx, c, length)
			if err != nil {
				return err
			}
			page = make([]byte, 0, size)
			b.pages = append(b.pages, page)
		}
		n, err := from.Read(page[len(page):cap(page)])
		page = page[:len(page)+n]
		b.pages[len(b.pages)-1] = page
		b.size += int64(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// nextPage takes what the next page needs and returns its size. The error is a
// *NoRoomError.
func (b *Body) nextPage(ctx context.Context, c *conn, length int64) (int64, error) {
	size := int64(pageBytes)
	if b.pages == nil {
		size = freeBytes
	}
	if length >= 0 {
		// One byte more than is left, so that the end is seen.
		size = min(size, length-b.size+1)
	}
	if b.pages == nil || c == nil {
		return size, nil
	}
	return size, c.guard.take(ctx, c, size*bodyCost)
}

// bodyFailure returns the typed error for a body of which size bytes were read
// before err.
func bodyFailure(c *conn, err error, size int64) error {
	var large *http.MaxBytesError
	switch {
	case errors.HasType(err, (*NoRoomError)(nil)):
		return err
	case errors.As(err, &large):
		return &BodyTooLargeError{
			Limit: large.Limit,
		}
	case c != nil && c.isInterrupted():
		return c.guard.noRoom(eventNoRoom)
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c != nil {
			c.guard.record(eventStalled, nil)
		}
		return &StalledBodyError{
			Received: size,
		}
	default:
		return &BodyError{
			Cause: err,
		}
	}
}

// Sum returns the SHA-256 digest of the body.
func (b *Body) Sum() []byte {
	hash := sha256.New()
	for _, page := range b.pages {
		hash.Write(page)
	}
	return hash.Sum(nil)
}

// Decode decodes the body as JSON into v, as DecodeWith does.
func (b *Body) Decode(ctx context.Context, v any) error {
	return b.DecodeWith(ctx, func(whole []byte) error {
		return json.Unmarshal(whole, v)
	})
}

// DecodeWith passes the body to decode, whose error it returns, and drops the body.
// Only few bodies are decoded at once; the error is a *NoRoomError if ctx ends
// while others are.
func (b *Body) DecodeWith(ctx context.Context, decode func([]byte) error) error {
	if b.guard != nil {
		if b.guard.decoders.Acquire(ctx, 1) != nil {
			return b.guard.noRoom(eventNoRoom)
		}
		defer b.guard.decoders.Release(1)
	}
	whole := b.pages[0]
	if len(b.pages) > 1 {
		whole = make([]byte, 0, b.size)
		for i, page := range b.pages {
			whole = append(whole, page...)
			b.pages[i] = nil
		}
	}
	b.pages = nil
	return decode(whole)
}
