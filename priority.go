package coltsfootward

import "fmt"

// Priority is the importance of a request. Under overload the least important
// requests are shed first.
type Priority string

// The priorities, most important first.
const (
	PriorityCritical Priority = "critical"
	PriorityHigh     Priority = "high"
	PriorityNormal   Priority = "normal"
	PriorityLow      Priority = "low"
)

// Priorities lists every priority, most important first.
func Priorities() []Priority {
	return []Priority{PriorityCritical, PriorityHigh, PriorityNormal, PriorityLow}
}

// Rank returns 0 for the most important priority and a higher number for each
// less important one. An unknown priority ranks as PriorityNormal.
func (p Priority) Rank() int {
	switch p {
	case PriorityCritical:
		return 0
	case PriorityHigh:
		return 1
	case PriorityLow:
		return 3
	default:
		return 2
	}
}

// ParsePriority returns the priority with the name text. An empty text means
// PriorityNormal. For any other text it returns an error.
func ParsePriority(text string) (Priority, error) {
	if text == "" {
		return PriorityNormal, nil
	}
	for _, p := range Priorities() {
		if string(p) == text {
			return p, nil
		}
	}
	return "", fmt.Errorf("coltsfootward: unknown priority %q: use critical, high, normal or low", text)
}
