// Package sesameattempt carries out attempts and records their outcomes. An
// attempt is one placement of a job; its part on one target is a member.
//
//	placed --prepare all--> running (recorded) --open all--> opened
//	   \                       \
//	    +--> stopping --stop all, every member settled--> queued or ended
//
// Preparing a member reserves its resources, and opening it starts its tasks.
// A member has settled once no task of it runs and none ever will.
//
// Every step is a conditional write of the job's row or an idempotent call to
// an agent, so any process can continue after another one has crashed.
//
// # Usage
//
//	rows := sesameattempt.NewRowCache(store, clock, onSuccess)
//	driver := sesameattempt.NewDriver(options) // options.Rows is rows
//	driver.Begin(ctx, group)
//	driver.Drive(job.ID)
package sesameattempt
