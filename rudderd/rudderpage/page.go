// Package rudderpage holds the burn report as one self-contained HTML page.
package rudderpage

import _ "embed"

//go:embed burn.html
var burn []byte

// BurnReport returns the page. It asks for an operator token, reads the report from the admin API of the
// entry host that serves it, and draws it; it loads nothing from elsewhere.
func BurnReport() []byte { return burn }
