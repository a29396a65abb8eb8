// Package api holds the two descriptions that the HTTP servers and clients are generated
// from: caller.yaml and operator.yaml.
package api

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH ogen --clean --package caller --target caller --config ogen.yml caller.yaml"
//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH ogen --clean --package operator --target operator --config ogen.yml operator.yaml"
