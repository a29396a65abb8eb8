// Package wire contains the protobuf messages and twirp RPC services, mostly generated, with which
// pebbleloom's own processes communicate.
package wire

//go:generate sh -c "cd ../.. && PATH=$(go env GOPATH)/bin:$PATH protoc --go_out=. --go_opt=module=pebbleloom --twirp_out=. --twirp_opt=module=pebbleloom internal/wire/wire.proto"
