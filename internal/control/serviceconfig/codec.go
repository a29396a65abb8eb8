// Package serviceconfig defines the service configuration that operators write. It decodes, checks, merges and
// encodes service configurations and renders them from templates.
package serviceconfig

import (
	"bytes"
	"encoding/json"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/mailru/easyjson"

	"pebbleloom/internal/errs"
)

//go:generate sh -c "PATH=$(go env GOPATH)/bin:$PATH easyjson -all -disallow_unknown_fields model.go"

// MaxBytes is the maximum size in bytes of an encoded service configuration.
const MaxBytes = 1 << 20

// Decode decodes and checks a service configuration. Its error lists all faults, each with the path of the invalid
// value; the kind of the error is errs.TooLarge or errs.BadInput.
//
// Example: config, err := serviceconfig.Decode(body)
func Decode(body []byte) (*Config, error) {
	config := &Config{}
	if len(body) > MaxBytes {
		return nil, errs.New(errs.TooLarge, "service configuration has %d bytes, more than the limit of %d", len(body), MaxBytes)
	}
	if err := easyjson.Unmarshal(body, config); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "decode service configuration")
	}
	var faults errs.Batch
	config.check(&faults)
	return config, faults.Err()
}

// Encode encodes a service configuration in its canonical form: equal configurations have the same encoding.
//
// Example: body, err := serviceconfig.Encode(config)
func Encode(config *Config) ([]byte, error) {
	unordered, err := easyjson.Marshal(config)
	if err != nil {
		return nil, errs.Wrap(err, "encode service configuration")
	}
	// The generated JSON encoder writes maps in random order. Decoding its output and encoding it again with
	// json.Marshal sorts the keys, as the canonical form requires.
	var value any
	if err := decodeJSON(unordered, &value); err != nil {
		return nil, errs.Wrap(err, "sort keys of service configuration")
	}
	body, err := json.Marshal(value)
	return body, errs.Wrap(err, "sort keys of service configuration")
}

// decodeJSON decodes the first JSON value in a body into value. Numbers are decoded as json.Number, so that they keep all
// their digits.
func decodeJSON(body []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	return decoder.Decode(value)
}

// Merge applies a JSON merge patch (RFC 7396), in which null removes a value, to an encoded service configuration.
// It checks the result and returns it in canonical form. An empty document stands for an empty service
// configuration.
//
// Example: body, err := serviceconfig.Merge(old, []byte(`{"models":{"lector":{"weights":4}}}`))
func Merge(document, patch []byte) ([]byte, error) {
	if len(document) == 0 {
		document = []byte("{}")
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "apply merge patch to service configuration")
	}
	config, err := Decode(merged)
	if err != nil {
		return nil, err
	}
	return Encode(config)
}
