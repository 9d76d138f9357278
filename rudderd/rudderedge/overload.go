package rudderedge

import (
	"fmt"
	"time"
)

// overloadLogInterval is the time between two log lines about the refusals of one ledger.
const overloadLogInterval = 5 * time.Second

// overload counts the requests that this entry host refuses as the owner of ledgers. It is not safe for concurrent use.
type overload struct {
	ledgers map[ledgerKey]*refusalCount
}

// refusalCount counts the refusals of one ledger since the last log line.
type refusalCount struct {
	since     time.Time
	urgency   [10]int
	overShare int // by workspaces that had more than their fair share
}

// record counts a refusal.
func (o *overload) record(e *Edge, key ledgerKey, overShare bool, urgency int, retryAfter time.Duration) {
	urgency = min(max(urgency, 0), 9)
	e.count(fmt.Sprint("balance.refused.urgency_", urgency))
	share := "within_share"
	if overShare {
		share = "over_share"
	}
	e.count("balance.refused." + share)
	if o.ledgers == nil {
		o.ledgers = map[ledgerKey]*refusalCount{}
	}
	c := o.ledgers[key]
	if c == nil {
		c = &refusalCount{}
		o.ledgers[key] = c
	}
	c.urgency[urgency]++
	if overShare {
		c.overShare++
	}
	now := time.Now()
	if now.Sub(c.since) < overloadLogInterval {
		return
	}
	e.Logger.Info().Str("service", key.service).Str("model", key.model).Int("part", key.partition).Ints("refused_by_urgency", c.urgency[:]).
		Int("over_share", c.overShare).Dur("retry_after_ms", retryAfter).Msg("no group has room for some requests")
	*c = refusalCount{since: now}
}
