PROTOC_FLAGS = --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative

.PHONY: build test generate

build:
	go build -o sesamestack .

test:
	go test ./...

generate:
	protoc $(PROTOC_FLAGS) sesamewire/sesamewire.proto
