// Package serviceconfig is the service configuration that operators write: its model, and how it is
// decoded, checked, merged and rendered from templates.
package serviceconfig

import (
	"bytes"
	"encoding/json"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/mailru/easyjson"

	"pebbleloom/internal/errs"
)

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH easyjson -all -disallow_unknown_fields model.go"

// MaxBytes bounds an encoded service configuration.
const MaxBytes = 1 << 20

// Decode decodes and checks a service configuration. The error lists all faults, each with its path
// and remedy; its kind is errs.TooLarge or errs.BadInput.
//
// Example: config, err := serviceconfig.Decode(body)
func Decode(body []byte) (*Config, error) {
	config := &Config{}
	if len(body) > MaxBytes {
		return nil, errs.New(errs.TooLarge, "service configuration: %d bytes, at most %d", len(body), MaxBytes)
	}
	if err := easyjson.Unmarshal(body, config); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "service configuration")
	}
	var faults errs.Batch
	config.check(&faults)
	return config, faults.Err()
}

// Encode encodes a service configuration in its one canonical form.
//
// Example: body, err := serviceconfig.Encode(config)
func Encode(config *Config) ([]byte, error) {
	unordered, err := easyjson.Marshal(config)
	if err != nil {
		return nil, errs.Wrap(err, "encode service configuration")
	}
	// The generated encoder leaves the order of maps open; the canonical form sorts their keys.
	var value any
	if err := decodeJSON(unordered, &value); err != nil {
		return nil, errs.Wrap(err, "order service configuration")
	}
	body, err := json.Marshal(value)
	return body, errs.Wrap(err, "order service configuration")
}

// decodeJSON decodes the first JSON value of a body. Numbers keep their digits.
func decodeJSON(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	return decoder.Decode(value)
}

// Merge applies a patch to a service configuration (RFC 7396: null removes) and checks the result. An
// empty document stands for an empty configuration.
//
// Example: body, err := serviceconfig.Merge(old, []byte(`{"models":{"lector":{"weights":4}}}`))
func Merge(document, patch []byte) ([]byte, error) {
	if len(document) == 0 {
		document = []byte("{}")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "merge partial service configuration")
	}
	config, err := Decode(merged)
	if err != nil {
		return nil, err
	}
	return Encode(config)
}
