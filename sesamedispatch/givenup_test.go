package sesamedispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sesamestack/sesamestack/sesamestandin"
)

// TestEndOnGivenUpTarget cuts an agent off from the store until its target is
// given up. A run that ended meanwhile is recorded afterwards, when the next one
// was ordered. The task must not start again after that.
func TestEndOnGivenUpTarget(t *testing.T) {
	for name, disturb := range map[string]func(next *nodeProcess, reconnect func()){
		"the next run is lost": func(next *nodeProcess, reconnect func()) {
			next.w.sleep(2500 * time.Millisecond)
			reconnect()
			next.w.sleep(3 * time.Second)
			next.crash(time.Second)
		},
		"the next run starts late": func(next *nodeProcess, reconnect func()) {
			next.currentTarget().SetLostOrders(func() (time.Duration, bool) {
				return 4 * time.Second, true
			})
			next.w.sleep(time.Second)
			reconnect()
			next.w.sleep(5 * time.Second)
			next.currentTarget().SetLostOrders(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 2)
				w.sleep(3 * time.Second)
				w.submit(jobOnTwoNodes(), "normal", "key-a", 0)
				w.sleep(time.Second)
				cut := w.nodes[0]
				cut.rows.SetFault(func(bool) sesamestandin.RowFault {
					return sesamestandin.RowFault{
						Refused: true,
					}
				})
				w.sleep(9500 * time.Millisecond)
				disturb(w.nodes[1], func() { cut.rows.SetFault(nil) })
				assertPromisesKept(t, w, time.Minute)
			})
		})
	}
}
