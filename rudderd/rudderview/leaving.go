package rudderview

import (
	"sync/atomic"
	"time"

	"comfreyrudder.example/shared/rudderhost"
)

const (
	// maxAnnounced bounds the announcements that are kept, by the number of targets that leave a large fleet at once.
	maxAnnounced = 4096
	// announcedMemory is how long an announcement is kept while no record names its target. A record that lapsed in an
	// outage of the key-value service may come back with the state from before.
	announcedMemory = 10 * time.Minute
)

// Announcement says that one life of a target has told a caller or an entry host that it leaves.
type Announcement struct {
	Target string
	Born   int64
}

// announced is one announcement as the view keeps it.
type announced struct {
	born int64
	at   time.Duration // uptime at which it was last known to matter
}

// announcements are the lives of targets that leave by their own answers. Their records may say so later, or never.
type announcements struct {
	lives map[string]announced // guarded by View.writing
	// open lists the announcements that no record shows yet, for other entry hosts.
	open atomic.Pointer[[]Announcement]
}

// Announce notes that a life of a target leaves: it takes no new work from here on, whatever its record says. It reports
// whether this is news.
func (v *View) Announce(a Announcement) bool {
	v.writing.Lock()
	defer v.writing.Unlock()
	old, known := v.announcements.lives[a.Target]
	if known && old.born >= a.Born {
		return false
	}
	if t := v.Snapshot().Targets[a.Target]; t != nil && t.Born > a.Born {
		return false // that life has ended
	}
	if v.announcements.lives == nil {
		v.announcements.lives = map[string]announced{}
	}
	if !known && len(v.announcements.lives) >= maxAnnounced {
		v.Logger.Error().Str("target", a.Target).Int("kept", maxAnnounced).Msg("too many leaving targets; announcement dropped")
		return false
	}
	v.announcements.lives[a.Target] = announced{born: a.Born, at: v.Uptime()}
	v.publish(v.edit())
	return true
}

// Announced lists the announcements that the records do not show yet.
func (v *View) Announced() []Announcement {
	if list := v.announcements.open.Load(); list != nil {
		return *list
	}
	return nil
}

// applyAnnounced makes the targets that have announced it leave in a snapshot that is not published yet, and forgets
// announcements of lives that have ended. The caller holds v.writing.
func (v *View) applyAnnounced(s *Snapshot) {
	if len(v.announcements.lives) == 0 && v.announcements.open.Load() == nil {
		return
	}
	now := v.Uptime()
	var open []Announcement
	for name, a := range v.announcements.lives {
		t := s.Targets[name]
		switch {
		case t == nil && now-a.at > announcedMemory, t != nil && t.Born > a.born:
			delete(v.announcements.lives, name)
			continue
		case t == nil || t.Born != a.born:
			continue
		}
		v.announcements.lives[name] = announced{born: a.born, at: now}
		if t.recordedLeaving {
			continue
		}
		open = append(open, Announcement{Target: name, Born: a.born})
		leaving := *t
		leaving.State = rudderhost.StateLeaving
		s.Targets[name] = &leaving
	}
	v.announcements.open.Store(&open)
}
