// Package examples embeds example pipeline files.
package examples

import _ "embed" // for the files

// Dusk is the pipeline file that "cherrywall demo" runs.
//
//go:embed dusk.yml
var Dusk []byte
