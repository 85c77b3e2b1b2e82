package cmdln

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/internal/fakes/procs"
)

var update = flag.Bool("update", false, "update the golden sessions")

// exitWait bounds the wait for a process that was told to end.
const exitWait = 30 * time.Second

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if binaries, err = os.MkdirTemp("", "wasabibend"); err != nil {
		panic(err)
	}
	defer os.RemoveAll(binaries)
	build := exec.Command("go", "build", "-o", binaries, "github.com/wasabibend/wasabibend", "github.com/wasabibend/wasabibend/internal/cmds/platform", "github.com/wasabibend/wasabibend/internal/cmds/upstream")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// TestScripts runs the sessions of testdata/scripts against real processes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":    cmdAwait,
			"burst":    cmdBurst,
			"call":     cmdCall,
			"exits":    cmdExits,
			"faults":   cmdFaults,
			"fleet":    cmdFleet,
			"key":      cmdKey,
			"load":     cmdLoad,
			"runs":     cmdRuns,
			"settled":  cmdSettled,
			"signal":   cmdSignal,
			"sleep":    cmdSleep,
			"start":    cmdStart,
			"unload":   cmdUnload,
			"upstream": cmdUpstream,
		},
		Dir: filepath.Join("testdata", "scripts"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Values[stateKey{}] = &state{client: &http.Client{}, keys: make(map[string]string)}
			return nil
		},
		UpdateScripts: *update,
	})
}

// stateKey is the key of a script's state.
type stateKey struct{}

// state is what the commands of a script share.
type state struct {
	client *http.Client
	fleet  *procs.Fleet
	keys   map[string]string
	load   *load
}

func stateOf(ts *testscript.TestScript) *state {
	return ts.Value(stateKey{}).(*state)
}

// cmdFleet starts a fleet: fleet [SETTING=VALUE...] ZONE:SERVICE...
// A setting is of section Limits, but for Spans, which is of section Trace.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	settings := "[Limits]\n"
	tracing := ""
	for len(args) > 0 && strings.Contains(args[0], "=") {
		if strings.HasPrefix(args[0], "Spans=") {
			tracing = "[Trace]\n" + args[0] + "\n"
		} else {
			settings += args[0] + "\n"
		}
		args = args[1:]
	}
	fleet, err := procs.New(procs.Options{
		Dir:         ts.MkAbs("."),
		Hosts:       args,
		ProgramPath: func(name string) (string, error) { return filepath.Join(binaries, name), nil },
		Settings:    settings + tracing,
	})
	ts.Check(err)
	s.fleet = fleet
	ts.Defer(func() {
		if s.load != nil {
			s.load.stop()
		}
		fleet.Close()
	})
	ts.Setenv("PLATFORM", fleet.PlatformURL)
	for _, host := range fleet.Hosts {
		ts.Setenv(strings.ToUpper(host.Name), host.Admin().String())
	}
	ts.Check(fleet.Start(context.Background()))
}

// cmdKey grants a key: key CUSTOMER [NAME]
func cmdKey(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	var out, errOut strings.Builder
	if code := Main([]string{"key", "grant", "-platform", s.fleet.PlatformURL, args[0]}, &out, &errOut); code != exitOK {
		ts.Fatalf("key grant: exit code %d: %s", code, errOut.String())
	}
	name := args[len(args)-1]
	s.keys[name] = strings.TrimSpace(out.String())
	ts.Setenv("KEY_"+strings.ToUpper(name), s.keys[name])
}

// request is a request that a script describes by flags.
type request struct {
	procs.Request
	host  string
	name  string
	shown string
}

// parseRequest parses [-body N] [-header K:V] [-key NAME] [-node NAME] METHOD
// PATH.
func parseRequest(ts *testscript.TestScript, args []string) *request {
	s := stateOf(ts)
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	r := &request{}
	flags.Int64Var(&r.BodyBytes, "body", 0, "bytes to upload")
	flags.StringVar(&r.host, "node", "n1", "the node to call")
	flags.StringVar(&r.name, "key", "", "the name of a key")
	r.Header = make(http.Header)
	flags.Func("header", "a header", func(text string) error {
		name, value, _ := strings.Cut(text, ":")
		r.Header.Add(name, value)
		return nil
	})
	ts.Check(flags.Parse(args))
	if flags.NArg() != 2 {
		ts.Fatalf("want METHOD and PATH, got %q", flags.Args())
	}
	host := s.fleet.Host(r.host)
	if host == nil {
		ts.Fatalf("there is no node %q", r.host)
	}
	if r.name != "" {
		if r.Key = s.keys[r.name]; r.Key == "" {
			ts.Fatalf("there is no key %q", r.name)
		}
	}
	r.Method = flags.Arg(0)
	r.Path = flags.Arg(1)
	r.Address = host.Callers()
	r.shown = strings.Join(args, " ")
	return r
}

// shownHeaders are the headers of an answer that a session shows.
var shownHeaders = regexp.MustCompile(`^(Content-(Length|Type)|Retry-After|Trailer|Wasabibend-.*|X-.*)$`)

// grantedKey matches a key.
var grantedKey = regexp.MustCompile(`wbk_\w+`)

// varying matches times in an answer.
var varying = regexp.MustCompile(`("RetryAfterMS":)[1-9]\d*`)

// cmdCall sends a request and prints its answer: call [FLAGS] METHOD PATH
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	r := parseRequest(ts, args)
	fmt.Fprintf(ts.Stdout(), "> %s\n", grantedKey.ReplaceAllString(r.shown, "wbk_KEY"))
	answer, err := procs.Send(context.Background(), stateOf(ts).client, r.Request)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), "< no whole answer")
		if !neg {
			ts.Fatalf("call: %v", err)
		}
		return
	}
	if neg {
		ts.Fatalf("call: a whole answer came: %d", answer.Status)
	}
	fmt.Fprintf(ts.Stdout(), "< %d\n", answer.Status)
	names := make([]string, 0, len(answer.Header))
	for name := range answer.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := strings.Join(answer.Header[name], ", ")
		switch {
		case !shownHeaders.MatchString(name) || name == "Content-Length" && answer.Status >= http.StatusBadRequest:
			continue
		case name == "Retry-After" || name == "Wasabibend-Retry-After-Ms":
			value = "N"
		}
		fmt.Fprintf(ts.Stdout(), "< %s: %s\n", name, value)
	}
	body := varying.ReplaceAllString(answer.Body, "${1}N")
	if answer.BodyBytes > 200 {
		body = fmt.Sprintf("(%d bytes)\n", answer.BodyBytes)
	}
	fmt.Fprint(ts.Stdout(), body)
}

// cmdAwait repeats a request until its answer has a status:
// await STATUS [FLAGS] METHOD PATH
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseRequest(ts, args[1:])
	ts.Check(procs.Await(context.Background(), func() error {
		answer, err := procs.Send(context.Background(), stateOf(ts).client, r.Request)
		if err != nil {
			return err
		}
		if answer.Status != want {
			return fmt.Errorf("%s: want %d, got %d %s", r.shown, want, answer.Status, answer.Body)
		}
		return nil
	}))
}

// cmdBurst sends requests at once, spread over the nodes, and checks how many
// answers have a status: burst N STATUS LEAST MOST [FLAGS] METHOD PATH
func cmdBurst(ts *testscript.TestScript, _ bool, args []string) {
	var numbers [4]int
	for i := range numbers {
		n, err := strconv.Atoi(args[i])
		ts.Check(err)
		numbers[i] = n
	}
	r := parseRequest(ts, args[4:])
	s := stateOf(ts)
	var mu sync.Mutex
	counts := make(map[int]int)
	var calls sync.WaitGroup
	for i := range numbers[0] {
		single := r.Request
		if !slices.Contains(args, "-node") {
			single.Address = s.fleet.Hosts[i%len(s.fleet.Hosts)].Callers()
		}
		calls.Go(func() {
			status := 0
			if answer, err := procs.Send(context.Background(), s.client, single); err == nil {
				status = answer.Status
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	calls.Wait()
	ts.Logf("%s: answers by status: %v", r.shown, counts)
	if got := counts[numbers[1]]; got < numbers[2] || got > numbers[3] {
		ts.Fatalf("%s: want %d to %d answers with status %d, got %v", r.shown, numbers[2], numbers[3], numbers[1], counts)
	}
}

// load is a load that runs while a script goes on.
type load struct {
	cancel context.CancelFunc
	calls  sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
}

func (l *load) stop() map[string]int {
	l.cancel()
	l.calls.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// cmdLoad starts callers that repeat a request, each at its own node, or all
// at one: load CALLERS [FLAGS] METHOD PATH
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	callers, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseRequest(ts, args[1:])
	ctx, cancel := context.WithCancel(context.Background())
	s.load = &load{cancel: cancel, counts: make(map[string]int)}
	for i := range callers {
		single := r.Request
		if !slices.Contains(args, "-node") {
			single.Address = s.fleet.Hosts[i%len(s.fleet.Hosts)].Callers()
		}
		s.load.calls.Go(func() { s.load.repeat(ctx, single) })
	}
}

// loadPause is the time between the requests of one caller.
const loadPause = 5 * time.Millisecond

func (l *load) repeat(ctx context.Context, r procs.Request) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		answer, err := procs.Send(context.WithoutCancel(ctx), client, r)
		outcome := "whole"
		switch {
		case err != nil && strings.Contains(err.Error(), "connection refused"):
			outcome = "refused connection"
		case err != nil:
			outcome = "cut"
		case answer.Status != http.StatusOK:
			outcome = answer.Header.Get("Wasabibend-Refusal")
		}
		l.mu.Lock()
		l.counts[outcome]++
		l.mu.Unlock()
		time.Sleep(loadPause)
	}
}

// cmdUnload ends the load and checks that only some outcomes came about:
// unload LEAST-WHOLE [OUTCOME...]
func cmdUnload(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	least, err := strconv.Atoi(args[0])
	ts.Check(err)
	counts := s.load.stop()
	s.load = nil
	ts.Logf("outcomes of the load: %v", counts)
	for outcome := range counts {
		if outcome != "whole" && !slices.Contains(args[1:], outcome) {
			ts.Fatalf("outcomes of the load: %v", counts)
		}
	}
	if counts["whole"] < least {
		ts.Fatalf("want at least %d whole answers: %v", least, counts)
	}
}

// cmdRuns checks how often upstreams ran the request with an X-Request header:
// runs NAME LEAST MOST
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	least, err := strconv.Atoi(args[1])
	ts.Check(err)
	most, err := strconv.Atoi(args[2])
	ts.Check(err)
	total := 0
	for _, host := range stateOf(ts).fleet.Hosts {
		if host.Upstream == nil {
			continue
		}
		answer, err := procs.Send(context.Background(), http.DefaultClient, procs.Request{Method: http.MethodGet, Path: "/stand-in/runs", Address: host.Server()})
		if err != nil {
			continue
		}
		var runs map[string]int
		ts.Check(json.Unmarshal([]byte(answer.Body), &runs))
		total += runs[args[0]]
	}
	ts.Logf("runs of %s: %d", args[0], total)
	if total < least || total > most {
		ts.Fatalf("want %d to %d runs of %s, got %d", least, most, args[0], total)
	}
}

// cmdFaults sets the faults of the platform from JSON.
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	var faults objapi.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	ts.Check(stateOf(ts).fleet.SetFaults(context.Background(), faults))
}

// cmdSettled waits until all nodes see all upstreams.
func cmdSettled(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(stateOf(ts).fleet.AwaitSettled(context.Background()))
}

// cmdSignal sends a signal to nodes: signal TERM|KILL|STOP|CONT NAME...
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "TERM": syscall.SIGTERM}
	for _, name := range args[1:] {
		ts.Check(process(ts, name).Signal(signals[args[0]]))
	}
}

// cmdExits waits for the end of a node with an exit code: exits CODE NAME
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code, err := process(ts, args[1]).Wait(exitWait)
	ts.Check(err)
	if code != want {
		ts.Fatalf("%s exited with %d, want %d", args[1], code, want)
	}
}

// cmdStart starts a process again: start NAME...
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		p := process(ts, name)
		p.Kill()
		ts.Check(p.Start())
	}
}

// cmdUpstream ends or starts an upstream: upstream kill|start NODE
func cmdUpstream(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).fleet.Host(args[1]).Upstream
	p.Kill()
	if args[0] == "start" {
		ts.Check(p.Start())
	}
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// process returns a node or the platform by name.
func process(ts *testscript.TestScript, name string) *procs.Process {
	if name == "platform" {
		return stateOf(ts).fleet.Platform
	}
	host := stateOf(ts).fleet.Host(name)
	if host == nil {
		ts.Fatalf("there is no node %q", name)
	}
	return host.Node
}
