// Package sesamering joins the duties of a process by bounded rings: a
// watermill publisher and subscriber that holds a fixed number of messages a
// topic. Publishing to a full ring fails at once and never blocks.
//
// # Usage
//
//	ring := sesamering.New(256)
//	router.AddConsumerHandler("plan", "jobs", ring, handle)
//	err := sesamering.Send(ring, "jobs", sesamering.Hint{Key: key})
package sesamering

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
)

// FullError says that a ring holds as many messages as it may.
type FullError struct {
	Topic string
	Size  int
}

// Error names the topic and the size.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring %q is full with %d messages", e.Topic, e.Size)
}

// PayloadError says that a value cannot be carried in a message.
type PayloadError struct {
	Topic string
	Cause error
}

// Error names the topic and the cause.
func (e *PayloadError) Error() string {
	return fmt.Sprintf("message for ring %q: %v", e.Topic, e.Cause)
}

// Unwrap returns the cause.
func (e *PayloadError) Unwrap() error {
	return e.Cause
}

// Ring holds bounded queues by topic. Each topic has one subscriber.
type Ring struct {
	size   int
	mu     sync.Mutex
	topics map[string]chan *message.Message
}

var (
	_ message.Publisher  = (*Ring)(nil)
	_ message.Subscriber = (*Ring)(nil)
)

// New returns a ring of size messages a topic.
func New(size int) *Ring {
	return &Ring{
		size:   size,
		topics: map[string]chan *message.Message{},
	}
}

func (r *Ring) topic(name string) chan *message.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	queue, ok := r.topics[name]
	if !ok {
		queue = make(chan *message.Message, r.size)
		r.topics[name] = queue
	}
	return queue
}

// Len returns the number of messages waiting in the topic.
func (r *Ring) Len(topic string) int {
	return len(r.topic(topic))
}

// Publish adds the messages, or returns a *FullError for the first that does
// not fit.
func (r *Ring) Publish(topic string, messages ...*message.Message) error {
	queue := r.topic(topic)
	for _, m := range messages {
		select {
		case queue <- m:
		default:
			return &FullError{
				Topic: topic,
				Size:  r.size,
			}
		}
	}
	return nil
}

// Subscribe returns the topic's messages one at a time: the next follows when
// the one before has been acknowledged. A message that was refused is
// delivered again.
func (r *Ring) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	queue := r.topic(topic)
	out := make(chan *message.Message)
	d := &delivery{
		queue: queue,
		out:   out,
	}
	group := sync.WaitGroup{}
	group.Go(func() {
		d.run(ctx)
	})
	return out, nil
}

// Close does nothing: a subscription ends with its context.
func (r *Ring) Close() error {
	return nil
}

type delivery struct {
	queue <-chan *message.Message
	out   chan<- *message.Message
}

func (d *delivery) run(ctx context.Context) {
	defer close(d.out)
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.queue:
			if !d.deliver(ctx, m) {
				return
			}
		}
	}
}

// deliver offers the message until it is acknowledged; false means that the
// context ended first.
func (d *delivery) deliver(ctx context.Context, m *message.Message) bool {
	for {
		attempt := m.Copy()
		attempt.SetContext(ctx)
		select {
		case <-ctx.Done():
			return false
		case d.out <- attempt:
		}
		select {
		case <-ctx.Done():
			return false
		case <-attempt.Acked():
			return true
		case <-attempt.Nacked():
		}
	}
}

// Send publishes one value as JSON; errors are *PayloadError and *FullError.
func Send[T any](p message.Publisher, topic string, value T) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return &PayloadError{
			Topic: topic,
			Cause: err,
		}
	}
	return p.Publish(topic, message.NewMessage(watermill.NewUUID(), payload))
}

// Decode decodes the value that Send published, or returns an *PayloadError.
func Decode[T any](m *message.Message) (T, error) {
	var value T
	if err := json.Unmarshal(m.Payload, &value); err != nil {
		return value, &PayloadError{
			Topic: message.SubscribeTopicFromCtx(m.Context()),
			Cause: err,
		}
	}
	return value, nil
}
