// Command coltsfootctl is the operators' client.
package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"coltsfootward"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"
	"coltsfootward/schema/coltsfootward/v1/coltsfootwardv1connect"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
)

// options are the options of every command.
type options struct {
	Node string        `long:"node" env:"COLTSFOOTWARD_NODE" default:"127.0.0.1:7004" description:"operators' address of any node"`
	Wait time.Duration `long:"wait" default:"13s" description:"how long to wait until a change is in force"`
}

var common options

func client() coltsfootwardv1connect.OperatorServiceClient {
	return coltsfootwardv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+common.Node)
}

func changeContext() *coltsfootwardv1.ChangeContext {
	return &coltsfootwardv1.ChangeContext{
		ChangeId: uuid.NewString(), Force: true, WaitMilliseconds: common.Wait.Milliseconds(),
	}
}

func printChange(response *connect.Response[coltsfootwardv1.ChangeResponse], err error) error {
	if err != nil {
		return err
	}
	fmt.Printf("revision %d in force: %v\n", response.Msg.Revision, response.Msg.InForce)
	return nil
}

type organisationSet struct {
	Rate  float64 `long:"rate" required:"yes" description:"requests per second"`
	Burst int64   `long:"burst" required:"yes" description:"requests at once"`
	Args  struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *organisationSet) Execute([]string) error {
	return printChange(client().SetOrganisation(context.Background(), connect.NewRequest(&coltsfootwardv1.SetOrganisationRequest{
		Context: changeContext(), Name: c.Args.Name, RatePerSecond: c.Rate, Burst: c.Burst,
	})))
}

type serviceSet struct {
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *serviceSet) Execute([]string) error {
	return printChange(client().SetService(context.Background(), connect.NewRequest(&coltsfootwardv1.SetServiceRequest{
		Context: changeContext(), Service: &coltsfootwardv1.Service{Name: c.Args.Name},
	})))
}

type keyIssue struct {
	Organisation string `long:"organisation" required:"yes" description:"whose key it is"`
	Args         struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// keyBytes is how many random bytes a key holds.
const keyBytes = 24

// Execute implements flags.Commander.
func (c *keyIssue) Execute([]string) error {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return err
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	_, err := client().IssueKey(context.Background(), connect.NewRequest(&coltsfootwardv1.IssueKeyRequest{
		Context: changeContext(), Id: c.Args.ID, Organisation: c.Organisation, Digest: string(coltsfootward.DigestKey(key)),
	}))
	if err != nil {
		return err
	}
	fmt.Println(key)
	return nil
}

type keyWithdraw struct {
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	return printChange(client().WithdrawKey(context.Background(), connect.NewRequest(&coltsfootwardv1.WithdrawKeyRequest{
		Context: changeContext(), Id: c.Args.ID,
	})))
}

func main() {
	parser := flags.NewNamedParser("coltsfootctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Common options", "", &common); err != nil {
		panic(err)
	}
	add := func(parent *flags.Command, name, short string, command any) *flags.Command {
		var added *flags.Command
		var err error
		if parent == nil {
			added, err = parser.AddCommand(name, short, short, command)
		} else {
			added, err = parent.AddCommand(name, short, short, command)
		}
		if err != nil {
			panic(err)
		}
		return added
	}
	organisation := add(nil, "organisation", "organisations and their rates", &struct{}{})
	add(organisation, "set", "create an organisation or change its rate and burst", &organisationSet{})
	service := add(nil, "service", "services and their marks", &struct{}{})
	add(service, "set", "create or change a service", &serviceSet{})
	key := add(nil, "key", "callers' keys", &struct{}{})
	add(key, "issue", "issue a key and print it", &keyIssue{})
	add(key, "withdraw", "withdraw a key for good", &keyWithdraw{})
	_, err := parser.Parse()
	var help *flags.Error
	if errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Println(err)
		return
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
