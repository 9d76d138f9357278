package ruddertarget

import "time"

// MinSilence is the least time since a target's last response at which a failed probe finds it dead, unless its process has
// ended. A sound target may be unresponsive for about a second.
const MinSilence = 1100 * time.Millisecond
