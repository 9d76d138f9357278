package rudderconfig

import (
	"slices"
	"sync"
	"time"
	_ "time/tzdata" // hosts may have no time zone database

	"github.com/cockroachdb/errors"
)

// ErrWindow reports a window with a malformed day, time or time zone.
var ErrWindow = errors.New("window: malformed")

// searchDays is the number of days that NextChange looks ahead: a weekly window repeats within seven days, and one
// more day covers spans that run past midnight.
const searchDays = 8

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

var locations sync.Map // caches time zone names to *time.Location

type span struct{ start, end time.Time }

// Check returns ErrWindow if the window cannot be evaluated.
func (w Window) Check() error {
	_, err := w.spans(time.Unix(0, 0))
	return err
}

// ActiveAt reports whether t lies in one of the selector's windows. Spans include their start and exclude their end.
// A selector without windows is always active; a malformed window is never active.
func (s Selector) ActiveAt(t time.Time) bool {
	if len(s.Windows) == 0 {
		return true
	}
	return slices.ContainsFunc(s.Windows, func(w Window) bool {
		spans, err := w.spans(t)
		return err == nil && covered(spans, t)
	})
}

// NextChange returns the first time after t at which the result of ActiveAt changes, or false if it does not change
// within a week.
func (s Selector) NextChange(t time.Time) (time.Time, bool) {
	var edges []time.Time
	var all []span
	for _, w := range s.Windows {
		spans, err := w.spans(t)
		if err != nil {
			continue
		}
		all = append(all, spans...)
		for _, sp := range spans {
			edges = append(edges, sp.start, sp.end)
		}
	}
	slices.SortFunc(edges, time.Time.Compare)
	active := covered(all, t)
	for _, e := range edges {
		if e.After(t) && covered(all, e) != active {
			return e, true
		}
	}
	return time.Time{}, false
}

func covered(spans []span, t time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return !t.Before(s.start) && t.Before(s.end) })
}

// spans returns the window's spans that start between the day before t and searchDays after it.
func (w Window) spans(t time.Time) ([]span, error) {
	loc, err := location(w.TimeZone)
	if err != nil {
		return nil, err
	}
	from, err := clockTime(w.From)
	if err != nil {
		return nil, err
	}
	to, err := clockTime(w.To)
	if err != nil {
		return nil, err
	}
	for _, d := range w.Days {
		if !slices.Contains(weekdays, d) {
			return nil, errors.Wrapf(ErrWindow, "day %q", d)
		}
	}
	nextDay := 0
	if to <= from {
		nextDay = 1
	}
	local := t.In(loc)
	var out []span
	for i := -1; i <= searchDays; i++ {
		day := time.Date(local.Year(), local.Month(), local.Day()+i, 12, 0, 0, 0, loc)
		if len(w.Days) > 0 && !slices.Contains(w.Days, weekdays[day.Weekday()]) {
			continue
		}
		out = append(out, span{start: instant(day, from), end: instant(day.AddDate(0, 0, nextDay), to)})
	}
	return out, nil
}

// instant returns the first time on the given day at which clocks in the day's time zone show the given time since
// midnight. A clock time that a daylight saving change skips maps to the time of the change, so that two windows that
// meet at it neither overlap nor leave a gap.
func instant(day time.Time, clock time.Duration) time.Time {
	hour, minute := int(clock/time.Hour), int(clock%time.Hour/time.Minute)
	t := time.Date(day.Year(), day.Month(), day.Day(), hour, minute, 0, 0, day.Location())
	start, end := t.ZoneBounds()
	shown := time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	switch {
	case shown > clock:
		return start
	case shown < clock:
		return end
	case start.IsZero():
		return t
	}
	_, offset := t.Zone()
	_, before := start.Add(-time.Second).Zone()
	if first := t.Add(time.Duration(offset-before) * time.Second); first.Before(start) {
		return first // the clock time occurs twice on this day
	}
	return t
}

func clockTime(s string) (time.Duration, error) {
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != len("15:04") {
		return 0, errors.Wrapf(ErrWindow, "time %q", s)
	}
	return time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute, nil
}

func location(name string) (*time.Location, error) {
	if l, ok := locations.Load(name); ok {
		return l.(*time.Location), nil
	}
	l, err := time.LoadLocation(name)
	if err != nil || name == "" {
		return nil, errors.Wrapf(ErrWindow, "time zone %q", name)
	}
	locations.Store(name, l)
	return l, nil
}
