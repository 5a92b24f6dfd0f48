package sesameintake_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamework"
)

// TestWait checks that a queue's timeout limits how long a caller may wait.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name                  string
		timeout, asked, wants time.Duration
	}{
		{name: "no timeout", asked: 3 * time.Second, wants: 3 * time.Second},
		{name: "a timeout below the caller's wait", timeout: time.Second, asked: 3 * time.Second, wants: time.Second},
		{name: "a timeout above the caller's wait", timeout: 5 * time.Second, asked: 3 * time.Second, wants: 3 * time.Second},
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
