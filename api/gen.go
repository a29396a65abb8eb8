// Package api contains the OpenAPI documents caller.yaml (inference requests) and operator.yaml
// (administration), from which the HTTP servers and clients are generated.
package api

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH ogen --clean --package caller --target caller --config ogen.yml caller.yaml"
//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH ogen --clean --package operator --target operator --config ogen.yml operator.yaml"
