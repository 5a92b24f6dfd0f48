package sesameintake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestWait checks that a queue's time-out bounds a caller's own.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name                  string
		timeout, asked, wants time.Duration
	}{
		{name: "no time-out", asked: 3 * time.Second, wants: 3 * time.Second},
		{name: "a shorter one", timeout: time.Second, asked: 3 * time.Second, wants: time.Second},
		{name: "a longer one", timeout: 5 * time.Second, asked: 3 * time.Second, wants: 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := sesameintake.Admission{
				Queue: sesamework.Queue{
					Timeout: c.timeout,
				},
			}
			is.New(t).Equal(a.LimitWait(c.asked), c.wants)
		})
	}
}
