// Package examples has example manifests and settings for both deployments.
package examples

import "embed"

// Files holds the examples by file name.
//
//go:embed *.jsonc
var Files embed.FS
