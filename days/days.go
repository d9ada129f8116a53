// Package days holds the shipped scripts of troubles, so that the command has them wherever it runs.
package days

import "embed"

//go:embed *.star
var Files embed.FS
