// Package operatorapi serves the operators' HTTP API. Every node serves it, and every node gives the
// same response: control state is read by majority, and a view of the nodes or workers is reported by
// one node, which the response names.
//
// Server serves sites whose settings name the control nodes; groupServer serves sites with a group, whose
// membership is part of the replicated log. The names of the methods and of their types are generated
// from the API's schema, whose paths and JSON keys are those of the first release.
package operatorapi

import (
	"context"
	"net/http"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// maxBodyBytes bounds a request's body: a configuration with what surrounds it.
const maxBodyBytes = 2 * serviceconfig.MaxBytes

// Timeouts of calls to one node, as ratios of the heal bound.
const (
	statusTimeoutRatio = 1.0 / 12 // its status, or its view of nodes or workers
	lookupTimeoutRatio = 1.0 / 24 // what it knows of one request or prompt
)

// Server handles operators' requests.
type Server struct {
	control   *controlclient.Client
	view      func() clustermembership.View
	clients   *daemon.Clients
	bounds    settings.Bounds
	configKey string // of the document that holds the site's configuration
}

func newServer(process *daemon.Process, control *controlclient.Client, view func() clustermembership.View, clients *daemon.Clients, configKey string) *Server {
	return &Server{control: control, view: view, clients: clients, bounds: process.Settings.Bounds, configKey: configKey}
}

// Serve serves the operators' API at the process's operator address.
//
// Example: err := operatorapi.Serve(process, control, member.View, clients)
func Serve(process *daemon.Process, control *controlclient.Client, view func() clustermembership.View, clients *daemon.Clients) error {
	api, err := operator.NewServer(newServer(process, control, view, clients, controlclient.ConfigKey))
	if err != nil {
		return errs.Wrap(err, "operator API")
	}
	return process.Serve(process.Settings.Operator, requireKey(process.Settings.OperatorKey, http.MaxBytesHandler(api, maxBodyBytes)))
}

// NewError maps an error to its typed response.
//
// Example: s.NewError(ctx, errs.New(errs.NotFound, "tenant"))
func (s *Server) NewError(_ context.Context, err error) *operator.DeniedStatusCode {
	kind := errs.KindOf(err)
	return &operator.DeniedStatusCode{StatusCode: kind.HTTPStatus, Response: operator.Denial{Kind: kind.Name, Message: err.Error(), Remedy: kind.Remedy}}
}

// readAllShards reads the documents whose keys have a prefix, shard by shard, each by majority. what
// names them in errors.
func (s *Server) readAllShards(ctx context.Context, keyPrefix, what string) ([]*wire.Document, error) {
	var documents []*wire.Document
	for shard := range uint32(controlclient.ShardCount) {
		response, err := s.control.Read(ctx, &wire.ReadRequest{Shard: shard, Key: keyPrefix, Prefix: true})
		if err != nil {
			return nil, errs.Wrap(err, "read "+what)
		}
		documents = append(documents, response.Documents...)
	}
	return documents, nil
}

// putServiceDocument writes a document of a service that has a state. what names it in errors.
func (s *Server) putServiceDocument(ctx context.Context, service string, put *wire.Put, dryRun bool, what, state string) (*operator.Changed, error) {
	request := &wire.ChangeRequest{Shard: controlclient.ShardOf(service), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}, DryRun: dryRun}
	response, err := s.control.Change(ctx, request)
	if err != nil {
		return nil, errs.Wrap(err, "write "+what)
	}
	return &operator.Changed{Epoch: int64(response.Version), Outcome: response.Outcome, Note: operator.NewOptString(state)}, nil
}
