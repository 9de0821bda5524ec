package main

import (
	"fmt"
	"strings"
	"time"

	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

type serviceSet struct {
	session  *session
	Change   changeOptions `group:"Change options"`
	Marks    []string      `long:"mark" description:"how requests are treated: 'METHOD /prefix [priority] [unrepeatable]'; METHOD may be ANY, priority is critical, high, normal or low; may be given again"`
	Attempts int32         `long:"attempts" description:"attempts of one request over the whole chain; 0 for the nodes' setting"`
	Timeout  time.Duration `long:"timeout" description:"timeout of requests that bring none; 0s for the nodes' setting"`
	Args     struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *serviceSet) Execute([]string) error {
	service := &coltsfootwardv1.Service{Name: c.Args.Name, Attempts: c.Attempts, TimeoutMilliseconds: c.Timeout.Milliseconds()}
	for _, text := range c.Marks {
		mark, err := parseMark(text)
		if err != nil {
			return err
		}
		service.Marks = append(service.Marks, mark)
	}
	return c.session.change(c.Change, func(change *coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
		return c.session.client().SetService(c.session.ctx, connect.NewRequest(&coltsfootwardv1.SetServiceRequest{
			Context: change, Service: service,
		}))
	})
}

// anyMethod matches every method in a mark.
const anyMethod = "ANY"

func parseMark(text string) (*coltsfootwardv1.Mark, error) {
	words := strings.Fields(text)
	if len(words) < 2 || !strings.HasPrefix(words[1], "/") {
		return nil, &usageError{fmt.Sprintf("--mark %q: write 'METHOD /prefix [priority] [unrepeatable]'", text)}
	}
	mark := &coltsfootwardv1.Mark{Method: words[0], PathPrefix: words[1]}
	if mark.Method == anyMethod {
		mark.Method = ""
	}
	for _, word := range words[2:] {
		word = strings.TrimPrefix(word, "priority=")
		switch {
		case word == "unrepeatable" && !mark.Unrepeatable:
			mark.Unrepeatable = true
		case mark.Priority == "":
			mark.Priority = word
		default:
			return nil, &usageError{fmt.Sprintf("--mark %q: %q is one word too many", text, word)}
		}
	}
	return mark, nil
}

func writeMark(m *coltsfootwardv1.Mark) string {
	words := []string{m.Method, m.PathPrefix, m.Priority}
	if m.Method == "" {
		words[0] = anyMethod
	}
	if m.Unrepeatable {
		words = append(words, "unrepeatable")
	}
	return strings.Join(words, " ")
}

type serviceList struct{ session *session }

// Execute implements flags.Commander.
func (c *serviceList) Execute([]string) error {
	response, err := c.session.client().ListServices(c.session.ctx, connect.NewRequest(&coltsfootwardv1.ListServicesRequest{}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, service := range response.Msg.Services {
		rows = append(rows, serviceRows(service)...)
	}
	return c.session.print(response.Msg, []string{"NAME", "ATTEMPTS", "TIMEOUT", "REVISION", "MARK"}, rows)
}

// serviceRows returns the table rows of a service: the first row holds the service with
// its first mark, and each further row holds one more mark.
func serviceRows(s *coltsfootwardv1.Service) [][]string {
	attempts, timeout := "default", "default"
	if s.Attempts > 0 {
		attempts = fmt.Sprint(s.Attempts)
	}
	if s.TimeoutMilliseconds > 0 {
		timeout = (time.Duration(s.TimeoutMilliseconds) * time.Millisecond).String()
	}
	rows := [][]string{{s.Name, attempts, timeout, fmt.Sprint(s.Revision), "-"}}
	for i, mark := range s.Marks {
		if i == 0 {
			rows[0][4] = writeMark(mark)
			continue
		}
		rows = append(rows, []string{"", "", "", "", writeMark(mark)})
	}
	return rows
}
