package cmdln

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/version/edits"
	"github.com/wasabibend/wasabibend/internal/version/kinds"
	"github.com/wasabibend/wasabibend/pkg/rows"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// printedHashDigits is the number of hexadecimal digits that are printed of the
// hash of a key.
const printedHashDigits = 16

func runKey(ctx context.Context, c *console, args []string) error {
	return dispatch(ctx, c, "key", []command{
		{"grant", runKeyGrant, "grant a new key to a customer and print it"},
		{"list", runKeyList, "list granted and withdrawn keys by their hashes"},
		{"withdraw", runKeyWithdraw, "withdraw a key, given in full or by the first digits of its hash"},
	}, args)
}

func runKeyGrant(ctx context.Context, c *console, args []string) error {
	flags := newFlags(c, "key grant", "CUSTOMER")
	address := flags.String("platform", "", "the `URL` of the platform's object API")
	if err := parse(flags, args, 1, 1); err != nil {
		return err
	}
	if flags.Arg(0) == rows.AnyCustomer {
		return &usageError{"CUSTOMER must be a single customer, not *"}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, err := edits.New(objs.New(*address)).GrantKey(ctx, time.Now(), flags.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintln(c.out, key)
	return nil
}

func runKeyList(ctx context.Context, c *console, args []string) error {
	flags := newFlags(c, "key list", "")
	address := flags.String("platform", "", "the `URL` of the platform's object API")
	if err := parse(flags, args, 0, 0); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	keys, unreadable, err := edits.New(objs.New(*address)).Keys(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	warnUnreadable(c, unreadable)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tHASH\tSTATE")
	for _, key := range keys {
		state := "granted"
		if key.Withdrawn {
			state = "withdrawn"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", key.Customer, key.Hash[:printedHashDigits], state)
	}
	return trace.Wrap(w.Flush())
}

func runKeyWithdraw(ctx context.Context, c *console, args []string) error {
	flags := newFlags(c, "key withdraw", "KEY|HASH")
	address := flags.String("platform", "", "the `URL` of the platform's object API")
	if err := parse(flags, args, 1, 1); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	editor := edits.New(objs.New(*address))
	hash, err := findHash(ctx, c, editor, flags.Arg(0))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := editor.WithdrawKey(ctx, time.Now(), hash); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(c.out, "withdrawn %s\n", hash[:printedHashDigits])
	return nil
}

// findHash returns the full hash of a key, which is given in full or by the first
// digits of its hash, at least four. If these do not match exactly one key, the
// error is of the kind trace.NotFound.
func findHash(ctx context.Context, c *console, editor *edits.Editor, name string) (string, error) {
	if strings.HasPrefix(name, kinds.APIKeyPrefix) {
		return kinds.HashAPIKey(name), nil
	}
	keys, unreadable, err := editor.Keys(ctx)
	if err != nil {
		return "", trace.Wrap(err)
	}
	warnUnreadable(c, unreadable)
	var matches []string
	for _, key := range keys {
		if len(name) >= 4 && strings.HasPrefix(key.Hash, name) {
			matches = append(matches, key.Hash)
		}
	}
	if len(matches) != 1 {
		return "", trace.NotFound("%d keys have a hash that begins with %q: want at least 4 digits that match one key", len(matches), name)
	}
	return matches[0], nil
}
