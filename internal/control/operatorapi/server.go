// Package operatorapi serves the HTTP API for operators. Every node serves it, and a request may be sent to
// any of them: control state is read from a majority of its replicas, and a list of nodes or workers comes
// from a single node, which the response names.
//
// Server serves sites whose settings list the control nodes; groupServer serves platform sites, where one
// consensus group holds the control state and the group's membership is part of its replicated log. The names
// of the methods and of their types are generated from the API's schema, whose paths and JSON keys are kept
// from the first release for compatibility.
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

// maxBodyBytes limits a request's body: twice the largest configuration, to allow for the JSON around it.
const maxBodyBytes = 2 * serviceconfig.MaxBytes

// Timeouts of calls to a single node, as fractions of the recovery bound in the settings (Bounds.Recovery): the longest time
// until service is restored after a fault.
const (
	statusTimeoutRatio = 1.0 / 12 // timeout for reading a node's status or its list of nodes or workers, as a fraction of the recovery bound
	lookupTimeoutRatio = 1.0 / 24 // timeout for looking up one request's routing or one prompt's cached prefixes, as a fraction of the recovery bound
)

// Server handles operators' requests on a site whose settings list the control nodes.
type Server struct {
	control   *controlclient.Client
	view      func() clustermembership.View
	clients   *daemon.Clients
	bounds    settings.Bounds
	configKey string // key of the document that holds the site's configuration
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
		return errs.Wrap(err, "build handler of the operator API")
	}
	return process.ServeClients("operators", process.Settings.Operator, requireKey(process.Settings.OperatorKey, http.MaxBytesHandler(api, maxBodyBytes)))
}

// NewError converts an error to an API response with the error's kind, HTTP status and remedy.
//
// Example: s.NewError(ctx, errs.New(errs.NotFound, "tenant"))
func (s *Server) NewError(_ context.Context, err error) *operator.DeniedStatusCode {
	kind := errs.KindOf(err)
	return &operator.DeniedStatusCode{StatusCode: kind.HTTPStatus, Response: operator.Denial{Kind: kind.Name, Message: err.Error(), Remedy: kind.Remedy}}
}

// readAllShards reads all documents whose keys start with keyPrefix, each shard from a majority of its
// replicas. what describes the documents in error messages.
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

// putServiceDocument writes a document to the shard of a service. The response's field note is set to state, the state
// of the calendar entry or retirement in the document. what describes the document in error messages.
func (s *Server) putServiceDocument(ctx context.Context, service string, put *wire.Put, dryRun bool, what, state string) (*operator.Changed, error) {
	request := &wire.ChangeRequest{Shard: controlclient.ShardOf(service), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}, DryRun: dryRun}
	response, err := s.control.Change(ctx, request)
	if err != nil {
		return nil, errs.Wrap(err, "write "+what)
	}
	return &operator.Changed{Epoch: int64(response.Version), Outcome: response.Outcome, Note: operator.NewOptString(state)}, nil
}
