package node

import (
	"time"

	"github.com/wasabibend/wasabibend/pkg/admin"
)

// rivalInterval is the minimum interval between the decisions between two instances, so
// that wrong reports cause few health checks.
const rivalInterval = time.Second

// reception is what became of an announcement.
type reception int

const (
	// ignored means that the announcement is outdated.
	ignored reception = iota
	// accepted means that the announcement is the current one.
	accepted
	// contested means that a health check has to tell whether the instance is there.
	contested
)

// rival is the last announcement of an instance that contradicts the current one.
type rival struct {
	announcement admin.Announcement
	at           time.Time // zero for none
	decidedAt    time.Time // when a health check last told which instance is there
}

// outdated reports whether an announcement is older than the current one, or is from a
// start that has deregistered. Announcements without an instance ID never are. A wrong
// report with a birth or a sequence that is too large must not make the true ones outdated
// for good, so that neither counts while the current start is silent; a start that drains
// stays so. The caller holds the lock.
func (u *upstream) outdated(now time.Time, a *admin.Announcement, verifies bool) bool {
	if a.Instance == "" {
		return false
	}
	if born, ok := u.deregistered[a.Instance]; ok && !a.Born.After(born) {
		return true
	}
	if a.Instance != u.current.Instance {
		return !verifies && !u.silent(now) && a.Born.Before(u.current.Born)
	}
	return u.contradicts(a) && !a.Born.After(u.current.Born) && (u.current.Draining || !u.silent(now))
}

// silent reports whether the current start has not announced itself for half of the time
// for which an announcement is valid. The caller holds the lock.
func (u *upstream) silent(now time.Time) bool {
	return u.reportedAt.IsZero() || now.Sub(u.reportedAt) >= u.expiry/2
}

// contradicts reports whether an announcement of the current instance does not follow from
// its last one: it is an earlier one, or from another start than the one that drains. The
// caller holds the lock.
func (u *upstream) contradicts(a *admin.Announcement) bool {
	if a.Instance == "" || a.Instance != u.current.Instance {
		return false
	}
	if a.Born.Equal(u.current.Born) {
		return a.Sequence != 0 && a.Sequence <= u.current.Sequence
	}
	return a.Born.Before(u.current.Born) || u.current.Draining
}

// contests reports whether an announcement is from another instance than the current one,
// which may still be there. The caller holds the lock.
func (u *upstream) contests(now time.Time, a *admin.Announcement) bool {
	if a.Instance == "" || u.current.Instance == "" || a.Instance == u.current.Instance {
		return false
	}
	return a.Born.Before(u.current.Born) || (!u.expired(now) && !u.current.Draining)
}

// challenge keeps an announcement that contests the current one until a health check tells
// which of the instances is there. If it says that the instance drains, its later
// announcements do not count, as its leaving is acknowledged. The caller holds the lock.
func (u *upstream) challenge(now time.Time, a admin.Announcement) reception {
	last := u.rival.announcement
	switch {
	case a.Draining:
		u.recordLeft(a.Instance, a.Born)
		if last.Instance == a.Instance && !last.Born.After(a.Born) {
			u.rival.at = time.Time{}
		}
		return ignored
	case now.Sub(u.rival.decidedAt) < rivalInterval:
		return ignored
	case u.rivalPending(now) && last.Instance == a.Instance && last.Born.Equal(a.Born) && a.Sequence != 0 && a.Sequence <= last.Sequence:
		return ignored
	}
	u.rival.announcement, u.rival.at = a, now
	return contested
}

// rivalPending reports whether a health check has to tell which of two instances is there.
// The caller holds the lock.
func (u *upstream) rivalPending(now time.Time) bool {
	return !u.rival.at.IsZero() && now.Sub(u.rival.at) < u.expiry
}

// decide ends a contest by the instance that answered a health check, empty if the answer
// did not tell it. It makes the announcement of the rival the current one if that answered,
// and returns the instance that lost, or false if there was no contest.
func (u *upstream) decide(now time.Time, instance string) (lost string, decided bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.rivalPending(now) {
		return "", false
	}
	winner := u.rival.announcement
	u.rival = rival{decidedAt: now}
	left, ok := u.deregistered[winner.Instance]
	if instance != winner.Instance || ok && !winner.Born.After(left) {
		return winner.Instance, true
	}
	lost = u.current.Instance
	u.store(now, winner)
	u.doubtful = true
	return lost, true
}
