// Package examples holds ready manifests and settings for both deployments.
package examples

import "embed"

// Files are the examples by name.
//
//go:embed *.jsonc
var Files embed.FS
