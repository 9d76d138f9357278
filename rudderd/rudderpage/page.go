// Package rudderpage contains the HTML page of the burn report, which is a single file without external
// resources.
package rudderpage

import _ "embed"

//go:embed burn.html
var burnReport []byte

// BurnReport returns the page of the burn report. The page prompts for an operator token, fetches the report
// from the admin API of the entry host that served the page, and renders it.
func BurnReport() []byte { return burnReport }
