package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"time"

	"coltsfootward"
	"coltsfootward/core/fairshare"
	"coltsfootward/core/node"
)

// Field is one setting.
type Field struct {
	// Key is the full name of the setting, such as listen.callers.
	Key string
	// Unit is the unit or the type of the value.
	Unit string
	// Range describes the allowed values.
	Range string
	// Meaning describes the effect of the setting.
	Meaning string
	// required fields have no default.
	required bool
	// target returns a pointer to the value in s.
	target func(s *Settings) any
	// check returns a description of what is wrong with the value in s, or "".
	check func(s *Settings) string
}

// Default returns the default value in TOML syntax, or "required" if the setting is
// required and has no default.
func (f Field) Default() string {
	if f.required {
		return "required"
	}
	s := Default()
	switch p := f.target(&s).(type) {
	case *string:
		return fmt.Sprintf("%q", *p)
	case *node.ShareScope:
		return fmt.Sprintf("%q", *p)
	case *time.Duration:
		return fmt.Sprintf("%q", p.String())
	case *int:
		return fmt.Sprint(*p)
	case *int64:
		return fmt.Sprint(*p)
	case *float64:
		return fmt.Sprint(*p)
	case *bool:
		return fmt.Sprint(*p)
	case *[]string:
		return fmt.Sprintf("%q", *p)
	case *node.Crossing:
		return fmt.Sprintf("%q", *p)
	default:
		panic(fmt.Sprintf("settings: field %s has an unknown type %T: add it to Default and assign", f.Key, p))
	}
}

// Target returns a pointer to the field's value in s.
func (f Field) Target(s *Settings) any { return f.target(s) }

// set stores a value from a file in s. It returns a description of what is wrong with
// the value, or "". given is false if the file does not set the field.
func (f Field) set(s *Settings, value any, given bool) string {
	if !given {
		if f.required {
			return fmt.Sprintf("is missing: give %s", f.Range)
		}
		return ""
	}
	if !assign(f.target(s), value) {
		return fmt.Sprintf("is %v: give %s", showValue(value), f.Range)
	}
	if problem := f.check(s); problem != "" {
		return fmt.Sprintf("is %v: %s", showValue(value), problem)
	}
	return ""
}

// maximumShownBytes bounds how much of an invalid value an error message shows.
const maximumShownBytes = 80

func showValue(value any) string {
	text := fmt.Sprint(value)
	if _, ok := value.(string); ok {
		text = fmt.Sprintf("%q", value)
	}
	if len(text) > maximumShownBytes {
		return strings.ToValidUTF8(text[:maximumShownBytes], "") + "..."
	}
	return text
}

// assign stores a decoded TOML value and reports whether its type fits.
func assign(target, value any) bool {
	switch p := target.(type) {
	case *string:
		return assignValue(p, value)
	case *node.ShareScope:
		text, ok := value.(string)
		*p = node.ShareScope(text)
		return ok
	case *node.Crossing:
		text, ok := value.(string)
		*p = node.Crossing(text)
		return ok
	case *bool:
		return assignValue(p, value)
	case *int64:
		return assignValue(p, value)
	case *int:
		n, ok := value.(int64)
		*p = int(n)
		return ok && int64(*p) == n
	case *float64:
		if n, ok := value.(int64); ok {
			*p = float64(n)
			return true
		}
		return assignValue(p, value)
	case *time.Duration:
		text, ok := value.(string)
		parsed, err := time.ParseDuration(text)
		*p = parsed
		return ok && err == nil
	case *[]string:
		return assignList(p, value)
	default:
		return false
	}
}

func assignValue[T any](p *T, value any) bool {
	typed, ok := value.(T)
	*p = typed
	return ok
}

func assignList(p *[]string, value any) bool {
	list, ok := value.([]any)
	if !ok {
		return false
	}
	for _, entry := range list {
		text, ok := entry.(string)
		if !ok {
			return false
		}
		*p = append(*p, text)
	}
	return true
}

// The functions below create fields of different types.

const nameRange = "1 to 64 letters, digits, dots, dashes or underscores"

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

func name(key, meaning string, target func(*Settings) *string) Field {
	return Field{
		Key: key, Unit: "name", Range: nameRange, Meaning: meaning, required: true,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			return problemUnless(namePattern.MatchString(*target(s)), "give "+nameRange)
		},
	}
}

func names(key, meaning string, target func(*Settings) *[]string) Field {
	return Field{
		Key: key, Unit: "list of names", Range: "1 to 64 names, each of " + nameRange, Meaning: meaning, required: true,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			list := *target(s)
			bad := slices.ContainsFunc(list, func(text string) bool { return !namePattern.MatchString(text) })
			return problemUnless(len(list) >= 1 && len(list) <= 64 && !bad, "give 1 to 64 names, each of "+nameRange)
		},
	}
}

// weightRange describes the syntax of weights.
const weightRange = "name=weight each, with a weight above 0 and each name once, as in mill=2.5"

func weights(key, meaning string, target func(*Settings) *[]string) Field {
	return Field{
		Key: key, Unit: "list of weights", Range: weightRange, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			if _, err := fairshare.ParseWeights(*target(s)); err != nil {
				return fmt.Sprintf("%s; give %s", strings.ReplaceAll(err.Error(), "\n", "; "), weightRange)
			}
			return ""
		},
	}
}

// contactRange describes the syntax of a contact.
const contactRange = "DOMAIN/ID/ADDRESS each, as in north/quotes-1/10.0.0.1:7003"

func contacts(key, meaning string, target func(*Settings) *[]string) Field {
	return Field{
		Key: key, Unit: "list of contacts", Range: contactRange, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			for _, text := range *target(s) {
				if _, ok := parseContact(text); !ok {
					return fmt.Sprintf("holds %q: give %s", text, contactRange)
				}
			}
			return ""
		},
	}
}

func parseContact(text string) (coltsfootward.Instance, bool) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 || !namePattern.MatchString(parts[0]) || !namePattern.MatchString(parts[1]) {
		return coltsfootward.Instance{}, false
	}
	if _, err := netip.ParseAddrPort(parts[2]); err != nil {
		return coltsfootward.Instance{}, false
	}
	return coltsfootward.Instance{
		Domain:  coltsfootward.FailureDomain(parts[0]),
		ID:      coltsfootward.InstanceID(parts[1]),
		Address: parts[2],
	}, true
}

// addressKind describes which addresses a setting allows. Its text is the setting's
// range.
type addressKind string

const (
	// reachable addresses are announced to other nodes and operators, so they must not
	// be the unspecified address.
	reachable addressKind = "an IP number that the others reach and a port, as in 10.0.0.1:7003"
	// listening addresses may be the unspecified address, which means all interfaces.
	listening addressKind = "an IP number and a port, as in 10.0.0.1:7001"
	// loopback addresses are for the local backend server only, because any client that
	// sends a call token there acts on behalf of the caller's organisation.
	loopback addressKind = "a loopback IP number and a port, as in 127.0.0.1:7002"
)

func address(key, meaning string, kind addressKind, target func(*Settings) *string) Field {
	return Field{
		Key: key, Unit: "IP number and port", Range: string(kind), Meaning: meaning, required: true,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			parsed, err := netip.ParseAddrPort(*target(s))
			fits := err == nil
			fits = fits && (kind != loopback || s.Hosted() || parsed.Addr().IsLoopback())
			fits = fits && (kind != reachable || !parsed.Addr().IsUnspecified())
			return problemUnless(fits, "give "+string(kind))
		},
	}
}

func optionalAddress(key, meaning string, target func(*Settings) *string) Field {
	return Field{
		Key: key, Unit: "IP number and port", Range: string(listening) + ", or nothing", Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			_, err := netip.ParseAddrPort(*target(s))
			return problemUnless(*target(s) == "" || err == nil, "give "+string(listening))
		},
	}
}

func optionalName(key, meaning string, target func(*Settings) *string) Field {
	return Field{
		Key: key, Unit: "name", Range: nameRange, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			return problemUnless(*target(s) == "" || namePattern.MatchString(*target(s)), "give "+nameRange)
		},
	}
}

func fraction(key, meaning string, least, most float64, target func(*Settings) *float64) Field {
	remedy := fmt.Sprintf("a number from %g to %g", least, most)
	return Field{
		Key: key, Unit: "number", Range: remedy, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			return problemUnless(*target(s) >= least && *target(s) <= most, "give "+remedy)
		},
	}
}

func flag(key, meaning string, target func(*Settings) *bool) Field {
	return Field{
		Key: key, Unit: "boolean", Range: "true or false", Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check:  func(*Settings) string { return "" },
	}
}

func httpURL(key, meaning string, target func(*Settings) *string) Field {
	const remedy = "an http or https URL, as in http://10.0.0.9:7000"
	return Field{
		Key: key, Unit: "URL", Range: remedy, Meaning: meaning, required: true,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			u, err := url.Parse(*target(s))
			return problemUnless(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), "give "+remedy)
		},
	}
}

func choice[T ~string](key, meaning string, allowed []T, target func(*Settings) *T) Field {
	words := make([]string, len(allowed))
	for i, word := range allowed {
		words[i] = string(word)
	}
	remedy := "one of " + strings.Join(words, ", ")
	return Field{
		Key: key, Unit: "word", Range: remedy, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check: func(s *Settings) string {
			return problemUnless(slices.Contains(allowed, *target(s)), "give "+remedy)
		},
	}
}

func duration(key, meaning string, least, most time.Duration, target func(*Settings) *time.Duration) Field {
	remedy := fmt.Sprintf("a duration from %v to %v, as in \"250ms\"", least, most)
	return Field{
		Key: key, Unit: "duration", Range: remedy, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check:  func(s *Settings) string { return checkRange(*target(s), least, most, remedy) },
	}
}

func integer[T int | int64](key, unit, meaning string, least, most T, target func(*Settings) *T) Field {
	remedy := fmt.Sprintf("a whole number from %d to %d", least, most)
	return Field{
		Key: key, Unit: unit, Range: remedy, Meaning: meaning,
		target: func(s *Settings) any { return target(s) },
		check:  func(s *Settings) string { return checkRange(*target(s), least, most, remedy) },
	}
}

func checkRange[T int | int64 | time.Duration](value, least, most T, remedy string) string {
	return problemUnless(value >= least && value <= most, "give "+remedy)
}

func problemUnless(fits bool, problem string) string {
	if fits {
		return ""
	}
	return problem
}
