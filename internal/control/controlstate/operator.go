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

// How long an operator's request is worked on, as a ratio of the bound on acknowledgements, and how
// many more bytes of a plan make that as long again. It is less than the second of silence after
// which an operator goes on to another node.
const (
	operatorTimeoutRatio = 0.22
	timeoutBodyBytes     = 256 << 10
)

// operatorTimeout is how long a request with a body is worked on: then the operator asks elsewhere.
func (n *Node) operatorTimeout(size int) time.Duration {
	return settings.Fraction(n.process.Settings.Site.AckTimeoutMs, operatorTimeoutRatio*(1+float64(size)/timeoutBodyBytes))
}

// PutRoutingConfig lays a whole plan, or named items of one (part), over the version base. It returns
// once that is acknowledged: on the disks of a quorum, and in force. The same request sent again is
// acknowledged again.
//
// Example: version, err := n.PutRoutingConfig(ctx, 5, body, false)
func (n *Node) PutRoutingConfig(ctx context.Context, base uint64, body []byte, patch bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(len(body)))
	defer cancel()
	hash := sha256.New()
	fmt.Fprintf(hash, "%d %v ", base, patch)
	hash.Write(body)
	response, err := n.changeOnLeader(ctx, &wire.ChangeRequest{Patch: patch, Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{
		Key: routingconfig.DocumentKey, Body: body, IfVersion: base, Token: hex.EncodeToString(hash.Sum(nil)[:16])}}}})
	return response.GetVersion(), err
}

// ReadRoutingConfig reads the plan in force, and its version: never older than what was acknowledged
// before. No plan yet: no body, version 0.
//
// Example: body, version, err := n.ReadRoutingConfig(ctx)
func (n *Node) ReadRoutingConfig(ctx context.Context) ([]byte, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(0))
	defer cancel()
	document, err := n.readDocument(ctx, routingconfig.DocumentKey)
	return document.GetBody(), document.GetVersion(), err
}

// SetWeightsVersion names a version of a model's weights. An older one than is named is superseded
// already, and so is done.
//
// Example: err := n.SetWeightsVersion(ctx, "daka510000", 2)
func (n *Node) SetWeightsVersion(ctx context.Context, model string, version uint64) error {
	if model == "" || version == 0 {
		return errs.New(errs.BadInput, "model %q, version %d: give a model and a version from 1 on", model, version)
	}
	ctx, cancel := context.WithTimeout(ctx, n.operatorTimeout(0))
	defer cancel()
	// What is applied here was agreed on: it stays named.
	if weights := (fleet.Weights{}); json.Unmarshal(n.shards[0].published.current().documents[fleet.WeightsKey].GetBody(), &weights) == nil && weights.Named[model] >= version {
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
		_, err = n.changeOnLeader(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{
			Key: fleet.WeightsKey, Body: body, IfVersion: document.GetVersion()}}}})
		if err == nil || errs.KindOf(err) != errs.Conflict {
			return err
		}
	}
	// A conflict is with another naming, or with this one's first copy: nothing was refused.
	return errs.New(errs.OutcomeUnknown, "other namings came first until the time was over: the same again is safe")
}

// addWeightsVersion gives the named weights with one more; nil where that is named already.
func addWeightsVersion(old []byte, model string, version uint64) ([]byte, error) {
	weights := fleet.Weights{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &weights); err != nil {
			return nil, errs.Wrap(err, "read the weights that are named")
		}
	}
	if weights.Named[model] >= version {
		return nil, nil
	}
	if weights.Named == nil {
		weights.Named = map[string]uint64{}
	}
	weights.Named[model] = version
	body, err := json.Marshal(weights)
	return body, errs.Wrap(err, "write the weights that are named")
}

// leaderView is the newest published view, after the client was told whom it names.
func (n *Node) leaderView() *publishedView {
	view := n.shards[0].published.current()
	n.controlClient.SetMembers(view.self, view.members)
	if !view.isLeader {
		n.controlClient.HintLeader(view.leader)
	}
	return view
}

// changeOnLeader makes a change here where this member leads the group, or else wherever the leader is.
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

// readDocument reads one document; nil: there is none.
func (n *Node) readDocument(ctx context.Context, key string) (*wire.Document, error) {
	request := &wire.ReadRequest{Key: key}
	var response *wire.ReadResponse
	if n.leaderView().isLeader {
		confirmed, cancel := n.shards[0].confirmContext(ctx, 0)
		response = n.shards[0].read(confirmed, request)
		cancel()
	}
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
