# Pinned generators; their output is committed. `make tools generate` makes it again.
.PHONY: tools generate build platform
tools:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	go install github.com/mailru/easyjson/easyjson@v0.9.2
	go install github.com/ogen-go/ogen/cmd/ogen@v1.25.0
generate:
	go generate ./...
# Each program, and the first name that scripts of running sites may still call it by (internal/programs).
FIRST_NAMES = control-node:archive proxy:dispatcher node-agent:runner prompt-index:catalogue \
	placement-controller:appraiser pebblectl:desk worker-sim:cab store-sim:depot platform-sim:rank \
	appservice-sim:appservice loadgen:fares testbed:yard
build:
	go build -o bin/ ./cmd/...
	@for pair in $(FIRST_NAMES); do ln -sf "$${pair%%:*}" "bin/$${pair##*:}"; done
platform:
	go build -ldflags=-linkmode=external -o target/ ./platform/cmd/...
