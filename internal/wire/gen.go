// Package wire holds the generated messages and twirp services that pebbleloom's own
// processes talk with.
package wire

//go:generate sh -c "cd ../.. && PATH=$(go env GOPATH)/bin:$PATH protoc --go_out=. --go_opt=module=pebbleloom --twirp_out=. --twirp_opt=module=pebbleloom internal/wire/wire.proto"
