// Package sesamering passes messages between the goroutines of a process
// through bounded queues in memory. It implements a watermill publisher and
// subscriber that holds a fixed number of messages per topic. Publishing to a
// full queue fails at once and never blocks.
//
// # Usage
//
//	ring := sesamering.New(256)
//	router.AddConsumerHandler("plan", "jobs", ring, handle)
//	err := sesamering.Send(ring, "jobs", hint{Key: key})
package sesamering

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
)

// FullError is returned for a message that does not fit into its topic's queue.
type FullError struct {
	Topic string
	// Size is the most messages that the queue holds.
	Size int
}

// Error names the topic and the size.
func (e *FullError) Error() string {
	return fmt.Sprintf("queue of topic %q is full with %d messages", e.Topic, e.Size)
}

// PayloadError is returned when a value cannot be encoded as the JSON payload
// of a message, or a payload cannot be decoded.
type PayloadError struct {
	// Topic is the message's topic, empty if a received message names none.
	Topic string
	Cause error
}

// Error names the topic and the cause.
func (e *PayloadError) Error() string {
	return fmt.Sprintf("payload of a message of topic %q: %v", e.Topic, e.Cause)
}

// Unwrap returns the cause.
func (e *PayloadError) Unwrap() error {
	return e.Cause
}

// Ring holds a bounded queue of messages for each topic. A topic has one
// subscriber. It is safe for concurrent use.
type Ring struct {
	// size is the most messages that wait in one topic.
	size int
	mu   sync.Mutex
	// topics holds the queues by topic, created at first use.
	topics map[string]chan *message.Message
}

var (
	_ message.Publisher  = (*Ring)(nil)
	_ message.Subscriber = (*Ring)(nil)
)

// New returns a ring without topics that holds up to size messages per topic.
func New(size int) *Ring {
	return &Ring{
		size:   size,
		topics: map[string]chan *message.Message{},
	}
}

// topic returns the topic's queue, and creates it if necessary.
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

// Publish adds the messages to the topic's queue. At the first one that does
// not fit it returns a *FullError; the messages before it stay in the queue.
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

// Subscribe delivers the topic's messages on the returned channel, one at a
// time: the next one after the subscriber has called Ack on the one before. A
// message on which it calls Nack is delivered again. The channel is closed
// when ctx ends. The error is always nil.
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

// Close does nothing, since a subscription ends with its context. watermill
// requires the method.
func (r *Ring) Close() error {
	return nil
}

// delivery passes the messages of one topic on to its subscriber.
type delivery struct {
	queue <-chan *message.Message
	out   chan<- *message.Message
}

// run delivers messages until ctx ends, and then closes the channel.
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

// deliver sends copies of the message until the subscriber acknowledges one.
// It returns false if ctx ended first.
func (d *delivery) deliver(ctx context.Context, m *message.Message) bool {
	for {
		delivered := m.Copy()
		delivered.SetContext(ctx)
		select {
		case <-ctx.Done():
			return false
		case d.out <- delivered:
		}
		select {
		case <-ctx.Done():
			return false
		case <-delivered.Acked():
			return true
		case <-delivered.Nacked():
		}
	}
}

// Send publishes one value as the JSON payload of a message. Errors are
// *PayloadError and those of p, a *FullError if p is a Ring.
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

// Decode returns the value that Send published in the message, or a
// *PayloadError.
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
