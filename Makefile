PROTOC_FLAGS = --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative

.PHONY: build test check demo generate

build:
	go build -o sesamestack .

test:
	go test ./...

check:
	.ci/run

demo:
	go run . demo

generate:
	protoc $(PROTOC_FLAGS) sesamewire/sesamewire.proto
	protoc --go_out=. --go_opt=paths=source_relative sesametable/envelope.proto
