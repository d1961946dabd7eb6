// Package examples embeds example pipeline files.
package examples

import _ "embed" // enables the go:embed directives

// DuskPipeline is the content of dusk.yml, the pipeline file that "cherrywall demo" runs.
//
//go:embed dusk.yml
var DuskPipeline []byte
