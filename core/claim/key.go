package claim

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// domainSeparator separates the failure domain from the rest of a key, as in
// "north:0193…".
const domainSeparator = ":"

// Domain returns the failure domain named by the key, or "" if it names none.
func (k Key) Domain() string {
	domain, _, found := strings.Cut(k.Text, domainSeparator)
	if !found {
		return ""
	}
	return domain
}

// createdAt returns the key's creation time, or false if the key contains none. A
// UUID of version 7 contains its creation time.
func (k Key) createdAt() (time.Time, bool) {
	text := k.Text
	if _, rest, found := strings.Cut(text, domainSeparator); found {
		text = rest
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	return time.Unix(id.Time().UnixTime()), true
}
