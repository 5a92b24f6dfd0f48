package sesameintake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// cancel cancels a job as the caller with key1, who waits 3 s.
func (w *intakeWorld) cancel(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	admission, err := w.intake.Admit("host", "/queue/"+id, "key1")
	if err != nil {
		return err
	}
	return w.intake.Cancel(ctx, admission, id)
}

// cancelRow returns the row of the job's cancellation; its version is 0 if there
// is none.
func (w *intakeWorld) cancelRow(id string) sesamerows.Row {
	row, _, err := sesamerows.ReadRow(context.Background(), w.memory, sesamework.CancelKey(id))
	is.New(w.t).NoErr(err)
	return row
}

// TestCancel checks that a cancellation is recorded once, however often it is
// asked for and whatever becomes of the store's answers.
func TestCancel(t *testing.T) {
	t.Run("a second call leaves the row as it is", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newIntakeWorld(t)
			is.NoErr(w.submit("a", "key1"))
			is.NoErr(w.cancel("a"))
			first := w.cancelRow("a").Version
			is.NoErr(w.cancel("a"))
			is.Equal(w.cancelRow("a").Version, first)
		})
	})
	t.Run("a lost answer is settled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newIntakeWorld(t)
			is.NoErr(w.submit("a", "key1"))
			w.rows.SetFault(loseFirstWriteAnswer(0))
			is.NoErr(w.cancel("a"))
			is.True(w.cancelRow("a").Version > 0)
		})
	})
	t.Run("a try that is carried out late does not write the row again", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newIntakeWorld(t)
			is.NoErr(w.submit("a", "key1"))
			const late = 5 * time.Second
			w.rows.SetFault(loseFirstWriteAnswer(late))
			is.NoErr(w.cancel("a"))
			first := w.cancelRow("a").Version
			time.Sleep(2 * late)
			is.Equal(w.cancelRow("a").Version, first)
		})
	})
}
