package sesamework

import (
	"testing"

	"github.com/matryer/is"
)

// TestTargetKeyOfMember checks that a member leads to the row of its target.
func TestTargetKeyOfMember(t *testing.T) {
	for _, node := range []string{"side-zone-a-1", "rack/side-1"} {
		t.Run(node, func(t *testing.T) {
			key := TargetKey("zone", node, "i-7f3a91c2")
			m := Member{
				Target: key.Name,
				Zone:   "zone",
			}
			is.New(t).Equal(m.TargetKey(), key)
		})
	}
}
