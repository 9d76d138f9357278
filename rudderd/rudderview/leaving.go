package rudderview

import (
	"sync/atomic"
	"time"

	"comfreyrudder.example/shared/rudderhost"
)

const (
	// maxAnnouncements limits the announcements that are kept. It is above the number of targets that leave a
	// large fleet at once.
	maxAnnouncements = 4096
	// announcementRetention is how long an announcement is kept while its target has no record. A record that
	// lapsed in an outage of the key-value service may be written again with its earlier state.
	announcementRetention = 10 * time.Minute
)

// Announcement records that a target process, identified by its start time, has announced in an answer to an
// entry host that it is leaving.
type Announcement struct {
	Target string
	Born   int64
}

// announcement is the state of an Announcement in the view.
type announcement struct {
	born int64
	at   time.Duration // uptime of the announcement, or at which a record of this process was last seen
}

// announcements holds the target processes that have announced that they are leaving. Their records may show
// it later, or never.
type announcements struct {
	byTarget map[string]announcement // guarded by View.snapshotMu
	// unrecorded lists the announcements that no record shows yet, to be passed on to other entry hosts.
	unrecorded atomic.Pointer[[]Announcement]
}

// MarkLeaving marks a target process as leaving: it gets no new work from now on, whatever the state in its record. It
// returns false if this was known, if the process has ended, or if maxAnnouncements is reached.
func (v *View) MarkLeaving(a Announcement) bool {
	v.snapshotMu.Lock()
	defer v.snapshotMu.Unlock()
	if t := v.Snapshot().Targets[a.Target]; t != nil && t.Born > a.Born {
		return false // that process has ended
	}
	if !v.announceLocked(a) {
		return false
	}
	v.publish(v.cloneSnapshot())
	return true
}

// announceLocked records an announcement. It returns false if it was known, or if maxAnnouncements is reached. The caller
// holds v.snapshotMu.
func (v *View) announceLocked(a Announcement) bool {
	old, known := v.announcements.byTarget[a.Target]
	if known && old.born >= a.Born {
		return false
	}
	if v.announcements.byTarget == nil {
		v.announcements.byTarget = map[string]announcement{}
	}
	if !known && len(v.announcements.byTarget) >= maxAnnouncements {
		v.Logger.Error().Str("target", a.Target).Int("kept", maxAnnouncements).Msg("too many leaving targets; announcement ignored")
		return false
	}
	v.announcements.byTarget[a.Target] = announcement{born: a.Born, at: v.Uptime()}
	return true
}

// UnrecordedAnnouncements returns the announcements that the records do not show yet.
func (v *View) UnrecordedAnnouncements() []Announcement {
	if list := v.announcements.unrecorded.Load(); list != nil {
		return *list
	}
	return nil
}

// applyAnnounced sets the state of announced targets to leaving in a snapshot that is not published yet, and
// deletes the announcements of processes that have ended. The caller holds v.snapshotMu.
func (v *View) applyAnnounced(s *Snapshot) {
	if len(v.announcements.byTarget) == 0 && v.announcements.unrecorded.Load() == nil {
		return
	}
	now := v.Uptime()
	var unrecorded []Announcement
	for name, a := range v.announcements.byTarget {
		t := s.Targets[name]
		switch {
		case t == nil && now-a.at > announcementRetention, t != nil && t.Born > a.born:
			delete(v.announcements.byTarget, name)
			continue
		case t == nil || t.Born != a.born:
			continue
		}
		v.announcements.byTarget[name] = announcement{born: a.born, at: now}
		if t.recordedLeaving {
			continue
		}
		unrecorded = append(unrecorded, Announcement{Target: name, Born: a.born})
		leaving := *t
		leaving.State = rudderhost.StateLeaving
		s.Targets[name] = &leaving
	}
	v.announcements.unrecorded.Store(&unrecorded)
}
