package rudderverdict

import (
	"context"

	"comfreyrudder.example/rudderd/rudderlimit"
	"comfreyrudder.example/rudderd/rudderview"
	"comfreyrudder.example/shared/ruddertarget"
)

const (
	// probeTries is the number of requests with which an entry host probes a target that does not answer.
	probeTries = 2
	// limitedWitnesses is the number of other entry hosts that probe a silent target which names a limit of requests.
	limitedWitnesses = 1
)

func processOf(t *rudderview.Target) rudderlimit.Process {
	return rudderlimit.Process{Target: t.Name, Born: t.Born}
}

func (d *Detector) limited(t *rudderview.Target) bool {
	return d.Limits != nil && d.Limits.Limited(processOf(t))
}

// examineLimited examines a target that names a limit of requests. Only the planner sends requests for a report, and has another
// entry host send them, as far as their share of the limit allows. Otherwise a new connection shows whether the target is
// lost.
func (d *Detector) examineLimited(ctx context.Context, t *rudderview.Target) Finding {
	if now := d.Snapshot().Targets[t.Name]; now != nil && now.Born > t.Born {
		return Finding{Answered: true, Report: ruddertarget.GroupReport{Born: now.Born}}
	}
	begin := d.Uptime()
	err := d.tryConnect(ctx, t)
	if err != nil {
		return d.examineUnreachable(ctx, t, err)
	}
	if d.Planning == nil || !d.Planning() || !d.Limits.TakeProbe(processOf(t), begin) {
		found := asRecorded(t)
		found.Skipped = true
		return found
	}
	report, alive := d.Probe(ctx, t, func() { d.Limits.ChargeProbes(processOf(t), probeTries-1) })
	if own := (Finding{Answered: alive || report.Born != 0, Alive: alive, Report: report}); own.Answered {
		return own
	}
	d.Limits.ChargeProbes(processOf(t), probeTries*limitedWitnesses)
	statements := d.ask(ctx, d.others(t), t, Question{since: begin, Report: true}, limitedWitnesses)
	found := Finding{Path: true}
	if other := answered(statements); other != nil {
		found = *other
	}
	d.logVerdict(t, begin, "silent", statements, found.String())
	return found
}

// examineUnreachable examines a target to which this entry host cannot connect.
func (d *Detector) examineUnreachable(ctx context.Context, t *rudderview.Target, err error) Finding {
	begin, path := d.Uptime(), make(chan bool, 1)
	others := d.others(t)
	if len(others) == 0 {
		path <- true
	} else {
		go func() { path <- d.HasPath(ctx, t) }()
	}
	statements := d.ask(ctx, others, t, Question{since: begin}, minWitnesses)
	if found := answered(statements); found != nil {
		d.logVerdict(t, begin, "unreachable", statements, found.String())
		d.remember(t, *found)
		return *found
	}
	own := Finding{Path: <-path}
	own.Refused = own.Path && d.refusal(t, err)
	return d.conclude(ctx, t, begin, own, statements)
}

// connectForPeer answers another entry host's question about a target with a limit by a new connection. One that is accepted
// shows that the target is not lost.
func (d *Detector) connectForPeer(t *rudderview.Target) Finding {
	ctx := context.Background()
	if err := d.tryConnect(ctx, t); err != nil {
		hasPath := d.HasPath(ctx, t)
		return Finding{Path: hasPath, Refused: hasPath && d.refusal(t, err)}
	}
	found := asRecorded(t)
	found.Path, found.Answered = true, true
	return found
}
