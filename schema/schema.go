// Package schema holds the JSON Schemas of settings, stored objects and
// messages. Package wire is generated from the same files; package settings
// checks input against them.
package schema

import "embed"

// Files holds the schemas under their file names, for example settings.json.
//
//go:embed *.json
var Files embed.FS
