package controlstate

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// operatorTimeoutRatio is the time-out for serving an operator's request, as a fraction of the time within which
// changes have to be acknowledged (Site.AckTimeoutMs). It is less than the one second without a response after
// which an operator's client tries another node.
const operatorTimeoutRatio = 0.22

// timeoutBodyBytes is the size of a request body, in bytes, for which the time-out is twice that of a request
// without a body. The time-out grows linearly with the size.
const timeoutBodyBytes = 256 << 10

// operatorTimeout returns the time-out for serving an operator's request with a body of size bytes.
func (n *Node) operatorTimeout(size int) time.Duration {
	return settings.Fraction(n.process.Settings.Site.AckTimeoutMs, operatorTimeoutRatio*(1+float64(size)/timeoutBodyBytes))
}

// PutRoutingConfig replaces the routing configuration, or individual items of it if patch is set, provided that base
// is its current version. It returns the new version once the change is committed. A retry of the same request is
// acknowledged again. Kinds of errors are, among others, errs.Conflict if base is not the current version,
// errs.BadInput for an invalid configuration, and errs.OutcomeUnknown if the change may have been made, in which
// case it may be retried.
//
// Example: version, err := n.PutRoutingConfig(ctx, 5, body, false)
func (n *Node) PutRoutingConfig(ctx context.Context, base uint64, body []byte, patch bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(len(body)))
	defer cancel()
	put := &wire.Put{Key: routingconfig.DocumentKey, Body: body, IfVersion: base, Token: routingConfigToken(base, body, patch)}
	response, err := n.changeOnLeader(ctx, &wire.ChangeRequest{Patch: patch, Command: newPutCommand(put)})
	return response.GetVersion(), err
}

// routingConfigTokenBytes is the number of bytes of a request's SHA-256 hash that serve as its idempotency token.
const routingConfigTokenBytes = 16

// routingConfigToken derives an idempotency token from the contents of a request to change the routing
// configuration, since operators send no token.
func routingConfigToken(base uint64, body []byte, patch bool) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d %v ", base, patch)
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:routingConfigTokenBytes])
}

// newPutCommand returns the command that changes one document.
func newPutCommand(put *wire.Put) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// ReadRoutingConfig returns the routing configuration and its version. The result includes all changes that were
// acknowledged before the call. If there is no configuration yet, the body is nil and the version 0.
//
// Example: body, version, err := n.ReadRoutingConfig(ctx)
func (n *Node) ReadRoutingConfig(ctx context.Context) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(0))
	defer cancel()
	document, err := n.readDocument(ctx, routingconfig.DocumentKey)
	return document.GetBody(), document.GetVersion(), err
}

// SetWeightsVersion sets the version of a model's weights that workers have to run. If that version or a later one
// is already set, it changes nothing and returns no error. Kinds of errors are, among others, errs.BadInput for a
// missing model or version, and errs.OutcomeUnknown if the change may have been made, in which case it may be
// retried.
//
// Example: err := n.SetWeightsVersion(ctx, "daka510000", 2)
func (n *Node) SetWeightsVersion(ctx context.Context, model string, version uint64) error {
	if model == "" || version == 0 {
		return errs.New(errs.BadInput, "set weights of model %q to version %d: model must not be empty and version must be at least 1", model, version)
	}
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(0))
	defer cancel()
	if n.hasAppliedWeights(model, version) {
		return nil
	}
	for ctx.Err() == nil {
		document, err := n.readDocument(ctx, fleet.WeightsKey)
		if err != nil {
			return err
		}
		body, err := addWeightsVersion(document.GetBody(), model, version)
		if err != nil || body == nil {
			return err
		}
		put := &wire.Put{Key: fleet.WeightsKey, Body: body, IfVersion: document.GetVersion()}
		_, err = n.changeOnLeader(ctx, &wire.ChangeRequest{Command: newPutCommand(put)})
		if err == nil || errs.KindOf(err) != errs.Conflict {
			return err
		}
	}
	// Every attempt conflicted with a change of another model's weights version, or with an earlier attempt of this
	// change, which may have been committed.
	return errs.New(errs.OutcomeUnknown, "weights version not set: every attempt before the time-out conflicted with another change of the weights document: the request may be retried")
}

// hasAppliedWeights reports whether this member's applied state sets the given version of a model's weights or a
// later one. Applied changes are committed and therefore permanent.
func (n *Node) hasAppliedWeights(model string, version uint64) bool {
	document := n.shards[0].published.current().documents[fleet.WeightsKey]
	weights := fleet.Weights{}
	return json.Unmarshal(document.GetBody(), &weights) == nil && weights.Versions[model] >= version
}

// addWeightsVersion sets a model's version in an encoded fleet.Weights and returns the new encoding. It returns
// nil if that version of the model's weights or a later one is already set.
func addWeightsVersion(old []byte, model string, version uint64) ([]byte, error) {
	weights := fleet.Weights{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &weights); err != nil {
			return nil, errs.Wrap(err, "decode the stored versions of model weights")
		}
	}
	if weights.Versions[model] >= version {
		return nil, nil
	}
	if weights.Versions == nil {
		weights.Versions = map[string]uint64{}
	}
	weights.Versions[model] = version
	body, err := json.Marshal(weights)
	return body, errs.Wrap(err, "encode the versions of model weights")
}

// leaderView returns the newest published view of this node's member, and updates the control client with the
// members and the leader in that view.
func (n *Node) leaderView() *publishedView {
	view := n.shards[0].published.current()
	n.controlClient.SetMembers(view.self, view.members)
	if !view.isLeader {
		n.controlClient.HintLeader(view.leader)
	}
	return view
}

// changeOnLeader carries out a change on the leader of the group, which may be this member. If this member is the
// leader but neither accepts nor rejects the change, the change is sent to the other members.
func (n *Node) changeOnLeader(ctx context.Context, request *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	if n.leaderView().isLeader {
		response := n.shards[0].change(ctx, request)
		switch response.Outcome {
		case wire.OutcomeNotLeader, wire.OutcomeOverloaded, wire.OutcomeUnknown:
			n.controlClient.HintLeader(response.Leader)
		default:
			return response, controlclient.ErrorOf(response)
		}
	}
	response, err := n.controlClient.Change(ctx, request)
	if errs.KindOf(err) == errs.MayHaveExecuted && err != nil {
		err = errs.WrapAs(err, errs.OutcomeUnknown, "the outcome of the change of the control state is unknown: the request may be retried")
	}
	return response, err
}

// readDocument reads one document from the leader of the group: from this member if a quorum confirms that it
// leads, and through the control client otherwise. It returns nil if there is no such document.
func (n *Node) readDocument(ctx context.Context, key string) (*wire.Document, error) {
	request := &wire.ReadRequest{Key: key}
	response := n.readLocally(ctx, request)
	if response.GetOutcome() != wire.OutcomeDone {
		var err error
		if response, err = n.controlClient.Read(ctx, request); err != nil {
			return nil, err
		}
	}
	for _, document := range response.Documents {
		if document.Key == key {
			return document, nil
		}
	}
	return nil, nil
}

// readLocally reads from this member if it leads the group. It returns nil if this member is not the leader.
func (n *Node) readLocally(ctx context.Context, request *wire.ReadRequest) *wire.ReadResponse {
	if !n.leaderView().isLeader {
		return nil
	}
	ctx, cancel := n.shards[0].confirmContext(ctx, 0)
	defer cancel()
	return n.shards[0].read(ctx, request)
}
