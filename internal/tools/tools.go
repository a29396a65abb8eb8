//go:build tools

// Package tools pins what the generators need.
package tools

import (
	_ "github.com/mailru/easyjson/gen"
	_ "github.com/ogen-go/ogen/gen"
)
