# Pinned generators; their output is committed. `make tools generate` makes it again.
.PHONY: tools generate build platform
tools:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	go install github.com/mailru/easyjson/easyjson@v0.9.2
	go install github.com/ogen-go/ogen/cmd/ogen@v1.25.0
generate:
	go generate ./...
build:
	go build -o bin/ ./cmd/...
platform:
	go build -ldflags=-linkmode=external -o target/ ./platform/cmd/...
