// Package sesameapi is the HTTP interface of one entry (the process that serves
// callers and plans jobs) for callers and operators, and the Go client for it.
//
// The handler is stateless: jobs and contracts are rows of the store, so any
// entry can answer for any job of its region. Callers authenticate with a token
// from their team's contract, operators with a token from the settings. Every
// error is an RFC 9457 problem whose type is stable; a problem in response to a
// submission says whether a job may have been created.
//
//	POST   /v1/jobs                   submit, with an Idempotency-Key
//	GET    /v1/jobs                   the team's open jobs
//	GET    /v1/jobs/{id}?wait=30s     one job, once it has ended or after wait
//	GET    /v1/jobs/{id}/result?rank=0
//	GET    /v1/jobs/{id}/explain
//	DELETE /v1/jobs/{id}              cancel
//	POST   /v1/jobs/{id}/resolve      operators: settle an unknown outcome
//	GET    /v1/contracts              operators
//	POST   /v1/contracts?dry-run=true
//	GET    /v1/contracts/history?since=0
//	POST   /v1/contracts/rollback
//	GET    /v1/targets
//	POST   /v1/targets/{id}/release
//	GET    /healthz, /readyz, /metrics
//
// # Usage
//
//	handler := sesameapi.New(sesameapi.Options{
//		Region:    "magdalena",
//		Store:     store,
//		Contracts: watch,
//		Operators: settings.Operators,
//	}, backend)
//	server := guard.NewServer(handler) // a sesameguard.Guard with ServerLimits and Refusal
//
//	client := sesameapi.NewClient(sesameapi.ClientOptions{
//		Addresses: []string{"http://10.0.0.1:8080", "http://10.0.0.2:8080"},
//		Token:     token,
//	})
//	job, err := client.Submit(ctx, key, request)
package sesameapi
