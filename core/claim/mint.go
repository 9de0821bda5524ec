package claim

import (
	"strings"
	"time"

	"github.com/google/uuid"
)

// domainSeparator divides the failure domain from the rest of a key that names
// one, as in "north:0193…".
const domainSeparator = ":"

// Domain returns the failure domain that the key names, or the empty text.
func (k Key) Domain() string {
	domain, _, found := strings.Cut(k.Text, domainSeparator)
	if !found {
		return ""
	}
	return domain
}

// minted returns when the key was made, if it says so: a UUID of version 7
// carries its time.
func (k Key) minted() (time.Time, bool) {
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
