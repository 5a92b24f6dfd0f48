// Package sesameattempt moves the attempts of jobs through their states and
// records their outcomes.
//
//	placed --prepare all--> running (recorded) --open all--> opened
//	   \                       \
//	    +--> stopping --stop all, every member settled--> queued or ended
//
// Every step is a conditional write of the job's row or a call that an agent
// may get twice, so any process may go on where another one died.
//
// # Usage
//
//	rows := sesameattempt.NewRowCache(store, clock, onSuccess)
//	driver := sesameattempt.NewDriver(options)
//	driver.Begin(ctx, group)
//	driver.Drive(job.ID)
package sesameattempt
