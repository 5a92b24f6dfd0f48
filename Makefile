PROTOC_FLAGS = --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative

.PHONY: build test check demo events generate

build:
	go build -o sesamestack .

test:
	go test ./...

check:
	.ci/run

demo:
	go run . demo

# Writes the catalogue of events into its page.
events:
	sed -i '/^| event /,$$d' docs/EVENTS.md
	go run . events >> docs/EVENTS.md

generate:
	protoc $(PROTOC_FLAGS) sesamewire/sesamewire.proto
	protoc --go_out=. --go_opt=paths=source_relative sesametable/envelope.proto
