// Package sesamecontention decides who waits when there is too little room. It
// orders waiting work by what its callers lose by waiting, and judges whether
// stopping running work pays. It does no input or output.
//
// A job that ends within its objective earns its value, one that ends late, up to
// LateFactor times the objective, earns LateWorth of it, and a later one nothing.
// Values are in core-seconds, since the value of a job grows with its work.
//
// # Usage
//
//	o := sesamecontention.Outlook{
//		Objective: 9 * time.Second,
//		Elapsed:   4 * time.Second,
//		Rest:      3 * time.Second,
//		Spread:    0.5,
//	}
//	loss := o.Worth(0) - o.Worth(time.Second) // of waiting for a second
package sesamecontention
