package sesamecontract

import (
	"testing"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// TestOffer offers sets in random order, and from several goroutines, and
// checks that the number held never decreases and ends at the highest.
func TestOffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		numbers := rapid.SliceOfN(rapid.Uint64Range(0, 20), 1, 40).Draw(t, "numbers")
		h := NewHolder()
		var highest uint64
		for _, n := range numbers {
			h.Offer(NewSet(n, nil))
			if h.Number() < highest {
				t.Fatalf("number %d after %d", h.Number(), highest)
			}
			highest = max(highest, n)
		}
		if h.Number() != highest {
			t.Fatalf("number %d, highest offered is %d", h.Number(), highest)
		}
	})
	t.Run("from several goroutines", func(t *testing.T) {
		h := NewHolder()
		var group errgroup.Group
		for n := range uint64(100) {
			group.Go(func() error {
				h.Offer(NewSet(n, nil))
				return nil
			})
		}
		_ = group.Wait()
		if h.Number() != 99 {
			t.Fatalf("number %d, highest offered is 99", h.Number())
		}
	})
}
