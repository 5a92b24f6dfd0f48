package sesamering

import (
	"context"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// testTimeout is how long receive waits for a message before it fails the test.
const testTimeout = 10 * time.Second

// receive returns the next message and its value, not yet acknowledged.
func receive(is *is.I, messages <-chan *message.Message) (int, *message.Message) {
	is.Helper()
	select {
	case m := <-messages:
		value, err := Decode[int](m)
		is.NoErr(err)
		return value, m
	case <-time.After(testTimeout):
		is.Fail() // no message within testTimeout
		return 0, nil
	}
}

// TestRing checks the limit of a topic's queue, the order of delivery and its
// repetition after Nack, the end of a subscription, and the error for a payload
// that can't be decoded.
func TestRing(t *testing.T) {
	t.Run("refuses messages to a full topic at once", func(t *testing.T) {
		is := is.New(t)
		r := New(1)
		is.NoErr(Send(r, "plan", 1))
		var full *FullError
		is.True(errors.As(Send(r, "plan", 2), &full))
		is.Equal(full.Size, 1)
		is.NoErr(Send(r, "notice", 3)) // a full topic doesn't affect another
	})
	t.Run("delivers in order, one at a time", func(t *testing.T) {
		is := is.New(t)
		r := New(3)
		messages, err := r.Subscribe(t.Context(), "plan")
		is.NoErr(err)
		for i := range 3 {
			is.NoErr(Send(r, "plan", i))
		}
		for i := range 3 {
			value, m := receive(is, messages)
			is.Equal(value, i)
			m.Ack()
		}
	})
	t.Run("delivers a message again after Nack", func(t *testing.T) {
		is := is.New(t)
		r := New(1)
		messages, err := r.Subscribe(t.Context(), "plan")
		is.NoErr(err)
		is.NoErr(Send(r, "plan", 7))
		_, m := receive(is, messages)
		m.Nack()
		value, _ := receive(is, messages)
		is.Equal(value, 7)
	})
	t.Run("closes the channel when the context ends", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		messages, err := New(1).Subscribe(ctx, "plan")
		is.NoErr(err)
		cancel()
		_, open := <-messages
		is.True(!open)
	})
	t.Run("returns a PayloadError for a payload that is no JSON", func(t *testing.T) {
		is := is.New(t)
		_, err := Decode[int](message.NewMessage("id", []byte("no number")))
		var encode *PayloadError
		is.True(errors.As(err, &encode))
	})
}
