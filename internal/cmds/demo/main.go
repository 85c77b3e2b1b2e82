// Demo runs a small fleet through a series of steps and prints the result of each. It
// exits with an error if a step does not give the expected result.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/pool"

	"github.com/wasabibend/wasabibend/internal/cmdln"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
)

const (
	// maxCallers is the maximum number of requests in flight.
	maxCallers = 8
	// timeout applies to the whole demo.
	timeout = time.Minute
	// table is the table of routes and customers that the demo imports.
	table = `Route,Customer,Open,Rate,Burst,Importance,Timeout
GET /listings,*,yes,200,200,2,2s
* /ledger,amis,no,100,100,9,2s
* /ledger,voisins,no,100,100,3,2s
`
)

// demo is a running fleet.
type demo struct {
	client *http.Client
	dir    string
	fleet  *procs.Fleet
	keys   map[string]string // API keys, by customer
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "demo")
	if err != nil {
		return trace.Wrap(err)
	}
	defer os.RemoveAll(dir)
	fleet, err := procs.New(procs.Options{Dir: dir, Hosts: []string{"alpha:listings", "alpha:ledger", "beta:listings", "beta:ledger"}, ProgramPath: procs.SiblingPath})
	if err != nil {
		return trace.Wrap(err)
	}
	defer fleet.Close()
	d := &demo{client: &http.Client{Timeout: 5 * time.Second}, dir: dir, fleet: fleet, keys: make(map[string]string)}
	for _, step := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"start the platform, four hosts in two availability zones", d.start},
		{"import a table and grant two keys", d.configure},
		{"an open route needs no key", d.open},
		{"a route that is not open requires the customer's key", d.keyRequired},
		{"a chain of fifteen calls through both services", d.callChain},
		{"no upstream sees the caller's key", d.keyHidden},
		{"a mixed load of two customers", d.load},
		{"lower a customer's rate while traffic runs", d.edit},
		{"withdraw a key on an open connection", d.withdraw},
		{"kill an upstream; the one in the other zone takes over", d.kill},
		{"stop a node gracefully during an upload", d.drain},
		{"take the platform down; nodes continue to serve", d.outage},
	} {
		started := time.Now()
		result, err := step.run(ctx)
		if err != nil {
			return trace.Errorf("%s: %v", step.name, trace.UserMessage(err))
		}
		fmt.Printf("%5.1fs  %s\n        %s\n", time.Since(started).Seconds(), step.name, result)
	}
	fmt.Println("all steps succeeded")
	return nil
}

func (d *demo) start(ctx context.Context) (string, error) {
	if err := d.fleet.Start(ctx); err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("%d nodes see each other and all upstreams", len(d.fleet.Hosts)), nil
}

func (d *demo) configure(ctx context.Context) (string, error) {
	file := filepath.Join(d.dir, "table.csv")
	if err := os.WriteFile(file, []byte(table), 0o600); err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := command("table", "import", "-platform", d.fleet.PlatformURL, file); err != nil {
		return "", trace.Wrap(err)
	}
	for _, customer := range []string{"amis", "voisins"} {
		key, err := command("key", "grant", "-platform", d.fleet.PlatformURL, customer)
		if err != nil {
			return "", trace.Wrap(err)
		}
		d.keys[customer] = strings.TrimSpace(key)
	}
	started := time.Now()
	for _, host := range d.fleet.Hosts {
		if err := d.await(ctx, host, "/ledger/balance", "voisins", http.StatusOK); err != nil {
			return "", trace.Wrap(err)
		}
	}
	return fmt.Sprintf("in force on all nodes %d ms after the last command", time.Since(started).Milliseconds()), nil
}

func (d *demo) open(ctx context.Context) (string, error) {
	return d.expect(ctx, 0, "/listings/tonight", "", http.StatusOK)
}

func (d *demo) keyRequired(ctx context.Context) (string, error) {
	without, err := d.expect(ctx, 0, "/ledger/balance", "", http.StatusUnauthorized)
	if err != nil {
		return "", trace.Wrap(err)
	}
	with, err := d.expect(ctx, 0, "/ledger/balance", "amis", http.StatusOK)
	return without + "; " + with, trace.Wrap(err)
}

func (d *demo) callChain(ctx context.Context) (string, error) {
	return d.expect(ctx, 0, "/ledger/report?Depth=13&Call=/listings/all", "amis", http.StatusOK)
}

// keyHidden checks the upstreams' logs for keys. A stand-in for an upstream logs each
// key that reaches it.
func (d *demo) keyHidden(_ context.Context) (string, error) {
	logs, err := filepath.Glob(filepath.Join(d.dir, "*-upstream.log"))
	if err != nil {
		return "", trace.Wrap(err)
	}
	for _, log := range logs {
		data, err := os.ReadFile(log)
		if err != nil {
			return "", trace.ConvertSystemError(err)
		}
		if strings.Contains(string(data), "wbk_") {
			return "", trace.BadParameter("%s contains a key", filepath.Base(log))
		}
	}
	return fmt.Sprintf("none of %d upstreams logged a key", len(logs)), nil
}

func (d *demo) load(ctx context.Context) (string, error) {
	counts := d.send(ctx, 60, func(i int) procs.Request {
		if i%2 == 0 {
			return d.request(i%4, "/listings/all", "")
		}
		return d.request(i%4, "/ledger/balance", "voisins")
	})
	if counts[http.StatusOK] != 60 {
		return "", trace.BadParameter("responses by status: %v", counts)
	}
	return "60 of 60 complete responses", nil
}

func (d *demo) edit(ctx context.Context) (string, error) {
	if _, err := command("table", "set", "-platform", d.fleet.PlatformURL, "* /ledger", "voisins", "Rate=2", "Burst=2"); err != nil {
		return "", trace.Wrap(err)
	}
	var counts map[int]int
	err := procs.Await(ctx, func() error {
		counts = d.send(ctx, 40, func(i int) procs.Request { return d.request(i%4, "/ledger/balance", "voisins") })
		if counts[http.StatusTooManyRequests] < 30 {
			return trace.BadParameter("responses by status: %v", counts)
		}
		return nil
	})
	if err != nil {
		return "", trace.Wrap(err)
	}
	return fmt.Sprintf("of 40 calls by 8 callers %d were refused with 429 and a Retry-After", counts[http.StatusTooManyRequests]), nil
}

func (d *demo) withdraw(ctx context.Context) (string, error) {
	if _, err := d.expect(ctx, 2, "/ledger/balance", "amis", http.StatusOK); err != nil {
		return "", trace.Wrap(err)
	}
	if _, err := command("key", "withdraw", "-platform", d.fleet.PlatformURL, d.keys["amis"]); err != nil {
		return "", trace.Wrap(err)
	}
	started := time.Now()
	for _, host := range d.fleet.Hosts {
		if err := d.await(ctx, host, "/ledger/balance", "amis", http.StatusUnauthorized); err != nil {
			return "", trace.Wrap(err)
		}
	}
	return fmt.Sprintf("refused by all nodes %d ms after the command", time.Since(started).Milliseconds()), nil
}

func (d *demo) kill(ctx context.Context) (string, error) {
	d.fleet.Hosts[0].Upstream.Kill()
	counts := d.send(ctx, 40, func(i int) procs.Request { return d.request(i%4, "/listings/all", "") })
	if counts[http.StatusOK] != 40 {
		return "", trace.BadParameter("responses by status: %v", counts)
	}
	return "40 of 40 complete responses right after the kill", nil
}

func (d *demo) drain(ctx context.Context) (string, error) {
	host := d.fleet.Hosts[1]
	if _, err := command("table", "set", "-platform", d.fleet.PlatformURL, "PUT /ledger", "voisins", "Rate=100", "Burst=100", "MaxBody=1000000000", "Timeout=1m"); err != nil {
		return "", trace.Wrap(err)
	}
	if err := procs.Await(ctx, func() error {
		response, err := procs.Send(ctx, d.client, procs.Request{BodyBytes: 10, Key: d.keys["voisins"], Method: http.MethodPut, Path: "/ledger/map", Address: host.Callers()})
		if err == nil && response.Status != http.StatusOK {
			err = trace.BadParameter("status %d", response.Status)
		}
		return err
	}); err != nil {
		return "", trace.Wrap(err)
	}
	var response *procs.Response
	var sendErr error
	var uploads sync.WaitGroup
	uploads.Go(func() {
		response, sendErr = procs.Send(ctx, &http.Client{}, procs.Request{BodyBytes: 100e6, Key: d.keys["voisins"], Method: http.MethodPut, Path: "/ledger/map?Sleep=2s", Address: host.Callers()})
	})
	time.Sleep(50 * time.Millisecond)
	if err := host.Node.Signal(syscall.SIGTERM); err != nil {
		return "", trace.Wrap(err)
	}
	uploads.Wait()
	if sendErr != nil || response.Status != http.StatusOK {
		return "", trace.BadParameter("the upload was cut: %v", sendErr)
	}
	code, err := host.Node.Wait(10 * time.Second)
	if err != nil || code != 0 {
		return "", trace.BadParameter("exit code %d, %v", code, err)
	}
	return "100 MB arrived completely (" + strings.TrimSpace(response.Body) + "); exit code 0", nil
}

func (d *demo) outage(ctx context.Context) (string, error) {
	d.fleet.Platform.Kill()
	time.Sleep(4 * time.Second)
	counts := d.send(ctx, 40, func(int) procs.Request { return d.request(2, "/listings/all", "") })
	if counts[http.StatusOK] != 40 {
		return "", trace.BadParameter("responses by status: %v", counts)
	}
	return "40 of 40 complete responses 4 s into the outage", nil
}

func (d *demo) request(host int, path, customer string) procs.Request {
	return procs.Request{Key: d.keys[customer], Method: http.MethodGet, Path: path, Address: d.fleet.Hosts[host].Callers()}
}

// expect sends a request, checks the status of the response, and returns the status
// and the body as text.
func (d *demo) expect(ctx context.Context, host int, path, customer string, status int) (string, error) {
	response, err := procs.Send(ctx, d.client, d.request(host, path, customer))
	if err != nil {
		return "", trace.Wrap(err)
	}
	result := fmt.Sprintf("%d %s", response.Status, strings.TrimSpace(response.Body))
	if response.Status != status {
		return "", trace.BadParameter("%s", result)
	}
	return result, nil
}

// await sends requests to a host until the response has the expected status.
func (d *demo) await(ctx context.Context, host *procs.Host, path, customer string, status int) error {
	return procs.Await(ctx, func() error {
		response, err := procs.Send(ctx, d.client, procs.Request{Key: d.keys[customer], Method: http.MethodGet, Path: path, Address: host.Callers()})
		if err == nil && response.Status != status {
			err = trace.BadParameter("%s returned status %d: %s", host.Name, response.Status, response.Body)
		}
		return err
	})
}

// send sends n requests, at most maxCallers at a time, and counts the responses by
// status. Status 0 counts requests without a complete response.
func (d *demo) send(ctx context.Context, n int, request func(i int) procs.Request) map[int]int {
	counts := make(map[int]int)
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxCallers)
	for i := range n {
		calls.Go(func() {
			status := 0
			if response, err := procs.Send(ctx, d.client, request(i)); err == nil {
				status = response.Status
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	calls.Wait()
	return counts
}

// command runs a wasabibend command in this process and returns its output. It
// returns an error if the exit code is not 0.
func command(args ...string) (string, error) {
	var out, errOut strings.Builder
	if code := cmdln.Main(args, &out, &errOut); code != 0 {
		return "", trace.BadParameter("wasabibend %s: exit code %d: %s", strings.Join(args, " "), code, errOut.String())
	}
	return out.String(), nil
}
