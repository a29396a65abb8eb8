//go:build tools

// Package tools pins the modules that the code generators need in go.mod.
package tools

import (
	_ "github.com/mailru/easyjson/gen"
	_ "github.com/ogen-go/ogen/gen"
)
