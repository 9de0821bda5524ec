package message_test

import (
	"reflect"
	"testing"
	"time"

	"coltsfootward/core/demand"
	"coltsfootward/core/message"

	"github.com/vmihailenco/msgpack/v5"
)

// Guards against a field that is lost on the wire: the totals of different nodes would not
// agree.
func TestDemandMessagesRoundTrip(t *testing.T) {
	organisations := []demand.Organisation{{Name: "traders", Demand: demand.ByBand{3: 1.5, 7: 0.25}}}
	messages := []message.Message{
		&message.DemandReport{Report: demand.Report{
			Service: "quotes", Total: demand.ByBand{3: 2}, Organisations: organisations, Others: demand.ByBand{3: 0.5},
			OtherCount: 4, Admitted: 1.75, Contended: true,
		}},
		&message.DemandSummary{Summary: demand.Summary{
			Service: "quotes", Total: demand.ByBand{3: 2}, Organisations: organisations, Others: demand.ByBand{3: 0.5}, OtherCount: 4,
			Domains: []demand.Domain{{Name: "north", Demand: 2, Admitted: 1}}, Admitted: 1, Entries: 9, Interval: time.Second, Contended: true,
		}},
		&message.DemandExchange{Sum: demand.Summary{Service: "quotes", Entries: 3, Domains: []demand.Domain{{Name: "south", Demand: 1, Admitted: 1}}}},
	}
	for _, m := range messages {
		data, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		got := message.New(m.MessageKind())
		if err := msgpack.Unmarshal(data, got); err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("got %+v and %v, want %+v", got, err, m)
		}
	}
}
