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

// operatorTimeoutRatio is how long an operator's request is worked on, as a ratio of the bound on
// acknowledgements. It is less than the second without a response after which an operator goes on to
// another node.
const operatorTimeoutRatio = 0.22

// timeoutBodyBytes is the size of a body that doubles the time for a request without one; the time grows
// linearly.
const timeoutBodyBytes = 256 << 10

// operatorTimeout is how long a request with a body of so many bytes is worked on.
func (n *Node) operatorTimeout(size int) time.Duration {
	return settings.Fraction(n.process.Settings.Site.AckTimeoutMs, operatorTimeoutRatio*(1+float64(size)/timeoutBodyBytes))
}

// PutRoutingConfig replaces the routing configuration, or named items of it (patch), if base is its
// version. It returns the new version once the change is acknowledged: committed, and in force. The
// same request sent again is acknowledged again. Kinds of errors are, among others, errs.Conflict for
// another base, errs.BadInput for an invalid configuration, and errs.OutcomeUnknown if the change may
// have been made: it may be sent again.
//
// Example: version, err := n.PutRoutingConfig(ctx, 5, body, false)
func (n *Node) PutRoutingConfig(ctx context.Context, base uint64, body []byte, patch bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(len(body)))
	defer cancel()
	put := &wire.Put{Key: routingconfig.DocumentKey, Body: body, IfVersion: base, Token: routingConfigToken(base, body, patch)}
	response, err := n.changeOnLeader(ctx, &wire.ChangeRequest{Patch: patch, Command: newPutCommand(put)})
	return response.GetVersion(), err
}

// routingConfigTokenBytes is the part of the hash of a request that serves as its token.
const routingConfigTokenBytes = 16

// routingConfigToken derives the idempotency token from the request itself: operators send none.
func routingConfigToken(base uint64, body []byte, patch bool) string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d %v ", base, patch)
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:routingConfigTokenBytes])
}

func newPutCommand(put *wire.Put) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Put{Put: put}}
}

// ReadRoutingConfig returns the routing configuration and its version, never older than what was
// acknowledged before the call. Before the first configuration the body is nil and the version 0.
//
// Example: body, version, err := n.ReadRoutingConfig(ctx)
func (n *Node) ReadRoutingConfig(ctx context.Context) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(0))
	defer cancel()
	document, err := n.readDocument(ctx, routingconfig.DocumentKey)
	return document.GetBody(), document.GetVersion(), err
}

// SetWeightsVersion sets the version of a model's weights that workers have to run. A version up to the
// one that is set is superseded already: nothing is changed, and there is no error. Kinds of errors are,
// among others, errs.BadInput for a missing model or version, and errs.OutcomeUnknown if the change may
// have been made: it may be sent again.
//
// Example: err := n.SetWeightsVersion(ctx, "daka510000", 2)
func (n *Node) SetWeightsVersion(ctx context.Context, model string, version uint64) error {
	if model == "" || version == 0 {
		return errs.New(errs.BadInput, "model %q, version %d: give a model and a version from 1 on", model, version)
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
	// The conflicts were with changes of other models, or with this change's first copy.
	return errs.New(errs.OutcomeUnknown, "other namings came first until the time was over: the same again is safe")
}

// hasAppliedWeights reports whether the state that is applied here has a version of a model's weights, or
// a later one. What is applied was committed, so it stays set.
func (n *Node) hasAppliedWeights(model string, version uint64) bool {
	document := n.shards[0].published.current().documents[fleet.WeightsKey]
	weights := fleet.Weights{}
	return json.Unmarshal(document.GetBody(), &weights) == nil && weights.Versions[model] >= version
}

// addWeightsVersion returns an encoded fleet.Weights with a model's version added; nil if the old one has
// it already.
func addWeightsVersion(old []byte, model string, version uint64) ([]byte, error) {
	weights := fleet.Weights{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &weights); err != nil {
			return nil, errs.Wrap(err, "read the weights that are named")
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
	return body, errs.Wrap(err, "write the weights that are named")
}

// leaderView returns the newest published view after it has given the client the members and the leader that
// it names.
func (n *Node) leaderView() *publishedView {
	view := n.shards[0].published.current()
	n.controlClient.SetMembers(view.self, view.members)
	if !view.isLeader {
		n.controlClient.HintLeader(view.leader)
	}
	return view
}

// changeOnLeader makes a change: here if this member leads the group, or else on the leader. A change
// that this member neither accepted nor rejected is sent to the others.
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
		err = errs.WrapAs(err, errs.OutcomeUnknown, "the same again is safe")
	}
	return response, err
}

// readDocument reads one document: here if this member leads the group and a quorum confirms it, or else
// on the leader. It returns nil if there is no such document.
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

// readLocally reads from this member; it returns nil if this member doesn't lead the group.
func (n *Node) readLocally(ctx context.Context, request *wire.ReadRequest) *wire.ReadResponse {
	if !n.leaderView().isLeader {
		return nil
	}
	ctx, cancel := n.shards[0].confirmContext(ctx, 0)
	defer cancel()
	return n.shards[0].read(ctx, request)
}
