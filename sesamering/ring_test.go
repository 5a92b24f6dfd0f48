package sesamering

import (
	"context"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// testTimeout bounds the wait for a message.
const testTimeout = 10 * time.Second

func receive(is *is.I, messages <-chan *message.Message) (int, *message.Message) {
	is.Helper()
	select {
	case m := <-messages:
		value, err := Decode[int](m)
		is.NoErr(err)
		return value, m
	case <-time.After(testTimeout):
		is.Fail() // no message came
		return 0, nil
	}
}

func TestRing(t *testing.T) {
	t.Run("refuses at once what does not fit", func(t *testing.T) {
		is := is.New(t)
		r := New(1)
		is.NoErr(Send(r, "plan", 1))
		var full *FullError
		is.True(errors.As(Send(r, "plan", 2), &full))
		is.Equal(full.Size, 1)
		is.NoErr(Send(r, "notice", 3)) // each topic has a queue of its own
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
	t.Run("delivers again what was refused", func(t *testing.T) {
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
	t.Run("ends with its context", func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		messages, err := New(1).Subscribe(ctx, "plan")
		is.NoErr(err)
		cancel()
		_, open := <-messages
		is.True(!open)
	})
	t.Run("tells what cannot be decoded", func(t *testing.T) {
		is := is.New(t)
		_, err := Decode[int](message.NewMessage("id", []byte("no number")))
		var encode *PayloadError
		is.True(errors.As(err, &encode))
	})
}
