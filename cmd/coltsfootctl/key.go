package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"coltsfootward"
	coltsfootwardv1 "coltsfootward/schema/coltsfootward/v1"

	"connectrpc.com/connect"
)

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 24

type keyIssue struct {
	session      *session
	ChangeID     string `long:"change-id" description:"name of this change; give it again to repeat a change whose answer was lost"`
	FromInput    bool   `long:"from-stdin" description:"read the key from standard input instead of making one"`
	Organisation string `long:"organisation" required:"yes" description:"whose key it is"`
	Args         struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It prints only the key to standard output, so that
// the key can be piped to its store. All other output goes to standard error.
func (c *keyIssue) Execute([]string) error {
	key, err := c.key()
	if err != nil {
		return err
	}
	stderrSession := *c.session
	stderrSession.out = c.session.errout
	err = stderrSession.change(changeOptions{ChangeID: c.ChangeID}, func(change *coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
		return stderrSession.client().IssueKey(stderrSession.ctx, connect.NewRequest(&coltsfootwardv1.IssueKeyRequest{
			Context: change, Id: c.Args.ID, Organisation: c.Organisation, Digest: string(coltsfootward.DigestKey(key)),
		}))
	})
	if c.mayBeStored(err) {
		fmt.Fprintln(c.session.out, key)
	}
	var unknownOutcome *unknownOutcomeError
	if errors.As(err, &unknownOutcome) {
		return fmt.Errorf("%w; give the printed key with --from-stdin", err)
	}
	return err
}

// mayBeStored reports whether the key may have been stored. It must be printed then:
// otherwise a valid key could exist that is not known to anyone.
func (*keyIssue) mayBeStored(err error) bool {
	var notInForce *notInForceError
	var unknownOutcome *unknownOutcomeError
	return err == nil || errors.As(err, &notInForce) || errors.As(err, &unknownOutcome)
}

func (c *keyIssue) key() (string, error) {
	if !c.FromInput {
		random := make([]byte, keyBytes)
		if _, err := rand.Read(random); err != nil {
			return "", fmt.Errorf("generate key: %w", err)
		}
		return base64.RawURLEncoding.EncodeToString(random), nil
	}
	line, _ := bufio.NewReader(c.session.in).ReadString('\n')
	key := strings.TrimSpace(line)
	if len(key) < keyBytes || strings.ContainsAny(key, " \t") {
		return "", &usageError{fmt.Sprintf("standard input holds no key: give one of at least %d characters without spaces", keyBytes)}
	}
	return key, nil
}

type keyWithdraw struct {
	session  *session
	ChangeID string `long:"change-id" description:"name of this change; give it again to repeat a change whose answer was lost"`
	Args     struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	return c.session.change(changeOptions{ChangeID: c.ChangeID}, func(change *coltsfootwardv1.ChangeContext) (*connect.Response[coltsfootwardv1.ChangeResponse], error) {
		return c.session.client().WithdrawKey(c.session.ctx, connect.NewRequest(&coltsfootwardv1.WithdrawKeyRequest{
			Context: change, Id: c.Args.ID,
		}))
	})
}

type keyList struct{ session *session }

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	response, err := c.session.client().ListKeys(c.session.ctx, connect.NewRequest(&coltsfootwardv1.ListKeysRequest{}))
	if err != nil {
		return err
	}
	var rows [][]string
	for _, k := range response.Msg.Keys {
		state := "works"
		if k.Withdrawn {
			state = "withdrawn"
		}
		rows = append(rows, []string{k.Id, k.Organisation, state, fmt.Sprint(k.Revision)})
	}
	return c.session.print(response.Msg, []string{"ID", "ORGANISATION", "STATE", "REVISION"}, rows)
}
