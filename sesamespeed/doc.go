// Package sesamespeed estimates how fast targets are, from how long the same
// work takes on different ones. It does no input or output and reads no clock.
//
// The model is log(duration) = step + target + noise. Both terms are estimated
// together, robustly: a task that takes many times as long as its neighbours
// counts little. Targets are then divided into kinds (groups of equally fast
// targets). While the evidence doesn't show with confidence that they differ,
// there are no kinds and all factors are 1.
//
// # Usage
//
//	model := sesamespeed.NewModel()
//	model.Observe(observation)
//	if model.Refresh(now) {
//		factor := model.Factor(target)
//	}
package sesamespeed
