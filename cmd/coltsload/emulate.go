package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"coltsfootward/core/crossing"
	"coltsfootward/core/emulation"
	"coltsfootward/core/node"
)

// disturbanceStart is when the disturbance of an emulation begins. By then, nodes have
// learnt which services each class of requests needs.
const disturbanceStart = 4 * time.Second

// wavePeriod is the period of the waves of demand.
const wavePeriod = 17 * time.Second

// emulate runs a routed deployment under a virtual clock.
type emulate struct {
	Deployment string        `long:"deployment" choice:"publisher" choice:"consortium" choice:"fleet" choice:"payroll" choice:"bureau" default:"consortium" description:"the deployment"`
	Duration   time.Duration `long:"duration" default:"20s" description:"how long callers send requests"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of every random choice"`
	Service    string        `long:"service" description:"the service that has the trouble; the deepest one without it"`
	For        time.Duration `long:"for" default:"10s" description:"how long the trouble lasts, from 4 s on"`
	Burst      float64       `long:"burst" default:"1" description:"what callers' requests are multiplied by meanwhile"`
	Lost       int           `long:"lost" description:"how many of the service's backend servers are lost for good"`
	Rejects    float64       `long:"rejects" description:"part of what the service's backend servers get that they reject meanwhile"`
	Limit      float64       `long:"limit" default:"-1" description:"limit in requests per second that backend servers of the service name meanwhile; negative for none"`
	Limited    int           `long:"limited" default:"1" description:"how many of the service's backend servers name the limit"`
	Leaving    int           `long:"leaving" description:"how many of the service's backend servers say in their answers that they leave"`
	Hosted     bool          `long:"hosted" description:"plays the settings of a hosted deployment in place of --retry-grants and --crossing, and prints the use of the service's slots"`
	Grants     bool          `long:"retry-grants" description:"lets the nodes of backend servers grant the retries"`
	Crossing   node.Crossing `long:"crossing" choice:"occupancy" choice:"surplus" default:"occupancy" description:"which requests go to another failure domain, as the setting placement.crossing"`
	Wave       float64       `long:"wave" description:"part by which the demand of each failure domain varies around its mean; the waves of 17 s reach the domains one after the other"`
	Fails      float64       `long:"fails" description:"part of the service's runs that end without an answer meanwhile"`
}

// Execute implements flags.Commander.
func (c *emulate) Execute([]string) error {
	d := emulation.Consortium()
	switch c.Deployment {
	case "publisher":
		d = emulation.Publisher()
	case "fleet":
		d = emulation.Fleet()
	case "payroll":
		d = emulation.Payroll()
	case "bureau":
		d = emulation.Bureau()
	}
	d.Crossing, d.CrossingMargin, d.RetryGrants = c.Crossing, crossing.DefaultMargin, c.Grants
	if c.Hosted {
		d = d.Hosted()
	}
	disturbance, err := c.disturbance(d)
	if err != nil {
		return err
	}
	began := time.Now()
	o := emulation.Run(d, disturbance, c.Duration, c.Seed)
	fmt.Printf("%s, seed %d, trouble at %s from %s on for %s\n\n%s\n", d.Name, c.Seed, disturbance.Service, disturbanceStart, c.For, o)
	for _, s := range d.Services {
		fmt.Printf("%-13s %6d arrivals at backend servers, %6d from other domains\n", s.Name, o.Arrivals(s.Name), o.Crossed(s.Name))
	}
	if c.Hosted {
		fmt.Printf("\nslots of %s by second: available, in use, in use for requests that ended well\n", disturbance.Service)
		for second, u := range o.Uses(disturbance.Service) {
			fmt.Printf("%3d %6.0f %6.0f %6.0f\n", second, u.Available, u.Busy, u.Useful)
		}
	}
	if o.CrossedBytes > 0 {
		fmt.Printf("%.1f MB between failure domains\n", float64(o.CrossedBytes)/1e6)
	}
	if c.Limit >= 0 {
		fmt.Printf("\nrequests per second at each backend server of %s, limit %v:\n", disturbance.Service, c.Limit)
		rates := o.LimitedRates()
		for _, server := range slices.Sorted(maps.Keys(rates)) {
			fmt.Printf("%-16s %8.1f\n", server, rates[server])
		}
	}
	fmt.Printf("took %s\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// disturbance validates the flags and converts them to an emulation.Disturbance. The
// flags library checks their types only.
func (c *emulate) disturbance(d emulation.Deployment) (emulation.Disturbance, error) {
	service := d.Services[len(d.Services)-1]
	found := c.Service == ""
	for _, s := range d.Services {
		if string(s.Name) == c.Service {
			service, found = s, true
		}
	}
	switch {
	case !found:
		return emulation.Disturbance{}, fmt.Errorf("coltsload: deployment %s has no service %q: leave --service out for %s", d.Name, c.Service, service.Name)
	case c.Duration < time.Second || c.Duration > time.Hour:
		return emulation.Disturbance{}, errors.New("coltsload: --duration must be from 1s to 1h")
	case c.Burst < 0 || c.Burst > 100:
		return emulation.Disturbance{}, errors.New("coltsload: --burst must be from 0 to 100")
	case c.Lost < 0 || c.Lost > service.Upstreams:
		return emulation.Disturbance{}, fmt.Errorf("coltsload: --lost must be from 0 to the service's %d backend servers", service.Upstreams)
	case c.Limited < 0 || c.Limited > service.Upstreams || c.Leaving < 0 || c.Leaving > service.Upstreams:
		return emulation.Disturbance{}, fmt.Errorf("coltsload: --limited and --leaving must be from 0 to the service's %d backend servers", service.Upstreams)
	case c.Wave < 0 || c.Wave >= 1:
		return emulation.Disturbance{}, errors.New("coltsload: --wave must be at least 0 and below 1")
	case c.Rejects < 0 || c.Rejects > 1 || c.Fails < 0 || c.Fails > 1:
		return emulation.Disturbance{}, errors.New("coltsload: --rejects and --fails must be from 0 to 1")
	}
	span := emulation.Span{From: disturbanceStart, To: disturbanceStart + c.For}
	limited := c.Limited
	if c.Limit < 0 {
		limited = 0
	}
	return emulation.Disturbance{
		Wave: c.Wave, WavePeriod: wavePeriod,
		Limit: max(c.Limit, 0), LimitedServers: limited, LimitSpan: span, LeavingServers: c.Leaving, LeavingAt: disturbanceStart,
		Burst: c.Burst, BurstSpan: span, Service: service.Name, LostServers: c.Lost, LostAt: disturbanceStart,
		RejectShare: c.Rejects, RejectSpan: span, FailShare: c.Fails, FailSpan: span,
	}, nil
}
