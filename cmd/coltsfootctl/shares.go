package main

import (
	"encoding/json"
	"fmt"
	"net/http"
)

type serviceShares struct {
	session *session
	Args    struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// dividedService is an element of the gauge shares.
type dividedService struct {
	Service         string              `json:"service"`
	Band            int                 `json:"band"`
	AgeMilliseconds int64               `json:"age_milliseconds"`
	Organisations   []organisationShare `json:"organisations"`
}

type organisationShare struct {
	Name     string  `json:"name"`
	Demand   float64 `json:"demand"`
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
}

// Execute implements flags.Commander. It reads the node's gauges, which are not part of
// the operators' interface.
func (c *serviceShares) Execute([]string) error {
	services, err := c.read()
	if err != nil {
		return err
	}
	kept := []dividedService{}
	for _, s := range services {
		if c.Args.Name == "" || c.Args.Name == s.Service {
			kept = append(kept, s)
		}
	}
	if c.session.options.Output == "json" {
		encoder := json.NewEncoder(c.session.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(kept)
	}
	if len(kept) == 0 {
		fmt.Fprintln(c.session.out, "no capacity is divided at this node: the demand fits, or shares.scope is entry, or the fleet's demand is not known")
		return nil
	}
	var rows [][]string
	for _, s := range kept {
		rows = append(rows, shareRows(s)...)
	}
	return c.session.printTable([]string{"SERVICE", "BAND", "AGE", "ORGANISATION", "DEMAND", "SHARE", "REFUSED"}, rows)
}

func (c *serviceShares) read() ([]dividedService, error) {
	client := &http.Client{Timeout: responseMargin}
	request, err := http.NewRequestWithContext(c.session.ctx, http.MethodGet, "http://"+c.session.options.Node+"/debug/vars", nil)
	if err != nil {
		return nil, fmt.Errorf("--node: %w", err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read the node's gauges: %w", err)
	}
	defer response.Body.Close()
	var page struct {
		Coltsfootward struct {
			Node struct {
				Shares []dividedService `json:"shares"`
			} `json:"node"`
		} `json:"coltsfootward"`
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, fmt.Errorf("read the node's gauges: %w", err)
	}
	return page.Coltsfootward.Node.Shares, nil
}

// shareRows returns the table rows of a service, one for each organisation.
func shareRows(s dividedService) [][]string {
	var rows [][]string
	for _, o := range s.Organisations {
		name := o.Name
		if name == "" {
			name = "(others)"
		}
		rows = append(rows, []string{
			s.Service, fmt.Sprint(s.Band), fmt.Sprintf("%dms", s.AgeMilliseconds), name,
			fmt.Sprintf("%.2f", o.Demand), fmt.Sprintf("%.2f", o.Admitted), fmt.Sprintf("%.2f", o.Refused),
		})
	}
	return rows
}
