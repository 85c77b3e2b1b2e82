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

var update = flag.Bool("update", false, "update the expected output in the scripts")

// exitTimeout limits how long a script waits for a process to exit.
const exitTimeout = 30 * time.Second

// programDir is the directory with the programs under test.
var programDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "wasabibend"); err != nil {
		panic(err)
	}
	defer os.RemoveAll(programDir)
	build := exec.Command("go", "build", "-o", programDir, "github.com/wasabibend/wasabibend", "github.com/wasabibend/wasabibend/internal/cmds/platform", "github.com/wasabibend/wasabibend/internal/cmds/upstream")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	return m.Run()
}

// TestScripts runs the scripts in testdata/scripts. Each starts a fleet of real
// processes: nodes, upstreams, and a stand-in for the platform.
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
			env.Setenv("PATH", programDir+string(os.PathListSeparator)+env.Getenv("PATH"))
			env.Values[stateKey{}] = &scriptState{client: &http.Client{}, keys: make(map[string]string)}
			return nil
		},
		UpdateScripts: *update,
	})
}

// stateKey is the key of a script's scriptState in the values of its environment.
type stateKey struct{}

// scriptState is the state that the commands of a script share.
type scriptState struct {
	client *http.Client
	fleet  *procs.Fleet
	keys   map[string]string // API keys by the names that the script gives them
	load   *backgroundLoad   // nil if no load is running
}

func stateOf(ts *testscript.TestScript) *scriptState {
	return ts.Value(stateKey{}).(*scriptState)
}

// cmdFleet starts a fleet: fleet [SETTING=VALUE...] ZONE:SERVICE...
// Each ZONE:SERVICE is a host with a node and an upstream, or without an upstream
// if the service is "-". The nodes are named n1, n2 and so on. A setting belongs to
// section Limits, except Spans, which belongs to section Trace. The variable
// PLATFORM holds the URL of the platform; N1, N2 and so on hold the addresses of the
// nodes' administration listeners.
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
		ProgramPath: func(name string) (string, error) { return filepath.Join(programDir, name), nil },
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

// cmdKey grants an API key to a customer: key CUSTOMER [NAME]
// The flag -key refers to the key by NAME, by default the name of the customer. The
// variable KEY_NAME, with NAME in upper case, holds the key.
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

// request is a request that a script describes by flags and operands.
type request struct {
	procs.Request
	nodeName string
	keyName  string
	text     string // flags and operands as in the script
}

// parseRequest parses the flags and operands that describe a request:
// [-body BYTES] [-header NAME:VALUE] [-key NAME] [-node NAME] METHOD PATH
func parseRequest(ts *testscript.TestScript, args []string) *request {
	s := stateOf(ts)
	flags := flag.NewFlagSet("call", flag.ContinueOnError)
	r := &request{}
	flags.Int64Var(&r.BodyBytes, "body", 0, "length of the body in bytes")
	flags.StringVar(&r.nodeName, "node", "n1", "name of the node to call")
	flags.StringVar(&r.keyName, "key", "", "name of the API key to send")
	r.Header = make(http.Header)
	flags.Func("header", "header to send, as NAME:VALUE", func(text string) error {
		name, value, _ := strings.Cut(text, ":")
		r.Header.Add(name, value)
		return nil
	})
	ts.Check(flags.Parse(args))
	if flags.NArg() != 2 {
		ts.Fatalf("want METHOD and PATH, got %q", flags.Args())
	}
	host := s.fleet.Host(r.nodeName)
	if host == nil {
		ts.Fatalf("there is no node %q", r.nodeName)
	}
	if r.keyName != "" {
		if r.Key = s.keys[r.keyName]; r.Key == "" {
			ts.Fatalf("there is no key %q", r.keyName)
		}
	}
	r.Method = flags.Arg(0)
	r.Path = flags.Arg(1)
	r.Address = host.Callers()
	r.text = strings.Join(args, " ")
	return r
}

// printedHeaders matches the headers of a response that cmdCall prints.
var printedHeaders = regexp.MustCompile(`^(Content-(Length|Type)|Retry-After|Trailer|Wasabibend-.*|X-.*)$`)

// apiKey matches an API key.
var apiKey = regexp.MustCompile(`wbk_\w+`)

// nonzeroRetryAfter matches a retry time in a response. Only 0 is the same in every
// run, so cmdCall replaces other times with N.
var nonzeroRetryAfter = regexp.MustCompile(`("RetryAfterMS":)[1-9]\d*`)

// cmdCall sends a request and prints the response: call [FLAGS] METHOD PATH
// It fails without a complete response. Negated, it fails with one.
func cmdCall(ts *testscript.TestScript, neg bool, args []string) {
	r := parseRequest(ts, args)
	fmt.Fprintf(ts.Stdout(), "> %s\n", apiKey.ReplaceAllString(r.text, "wbk_KEY"))
	response, err := procs.Send(context.Background(), stateOf(ts).client, r.Request)
	if err != nil {
		fmt.Fprintln(ts.Stdout(), "< no complete response")
		if !neg {
			ts.Fatalf("call: %v", err)
		}
		return
	}
	if neg {
		ts.Fatalf("call: want no complete response, got one with status %d", response.Status)
	}
	fmt.Fprintf(ts.Stdout(), "< %d\n", response.Status)
	names := make([]string, 0, len(response.Header))
	for name := range response.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value := strings.Join(response.Header[name], ", ")
		switch {
		case !printedHeaders.MatchString(name) || name == "Content-Length" && response.Status >= http.StatusBadRequest:
			continue
		case name == "Retry-After" || name == "Wasabibend-Retry-After-Ms":
			value = "N"
		}
		fmt.Fprintf(ts.Stdout(), "< %s: %s\n", name, value)
	}
	body := nonzeroRetryAfter.ReplaceAllString(response.Body, "${1}N")
	if response.BodyBytes > 200 {
		body = fmt.Sprintf("(%d bytes)\n", response.BodyBytes)
	}
	fmt.Fprint(ts.Stdout(), body)
}

// cmdAwait repeats a request until the response has the given status:
// await STATUS [FLAGS] METHOD PATH
func cmdAwait(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	r := parseRequest(ts, args[1:])
	ts.Check(procs.Await(context.Background(), func() error {
		response, err := procs.Send(context.Background(), stateOf(ts).client, r.Request)
		if err != nil {
			return err
		}
		if response.Status != want {
			return fmt.Errorf("%s: want %d, got %d %s", r.text, want, response.Status, response.Body)
		}
		return nil
	}))
}

// cmdBurst sends N requests at the same time and checks how many of the responses
// have the given status: burst N STATUS MIN MAX [FLAGS] METHOD PATH
// The requests are spread evenly over the nodes unless -node names one.
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
		nodeRequest := r.Request
		if !slices.Contains(args, "-node") {
			nodeRequest.Address = s.fleet.Hosts[i%len(s.fleet.Hosts)].Callers()
		}
		calls.Go(func() {
			status := 0
			if response, err := procs.Send(context.Background(), s.client, nodeRequest); err == nil {
				status = response.Status
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	calls.Wait()
	ts.Logf("%s: responses by status: %v", r.text, counts)
	if got := counts[numbers[1]]; got < numbers[2] || got > numbers[3] {
		ts.Fatalf("%s: want %d to %d responses with status %d, got %v", r.text, numbers[2], numbers[3], numbers[1], counts)
	}
}

// cmdRuns checks how often all upstreams together ran the request with an X-Request
// header: runs VALUE MIN MAX
// VALUE/DEPTH counts only the runs of a sub-call at that depth. An upstream that
// cannot be reached counts as 0, and a restart resets its counts.
func cmdRuns(ts *testscript.TestScript, _ bool, args []string) {
	minRuns, err := strconv.Atoi(args[1])
	ts.Check(err)
	maxRuns, err := strconv.Atoi(args[2])
	ts.Check(err)
	total := 0
	for _, host := range stateOf(ts).fleet.Hosts {
		if host.Upstream == nil {
			continue
		}
		response, err := procs.Send(context.Background(), http.DefaultClient, procs.Request{Method: http.MethodGet, Path: "/stand-in/runs", Address: host.Server()})
		if err != nil {
			continue
		}
		var runs map[string]int
		ts.Check(json.Unmarshal([]byte(response.Body), &runs))
		total += runs[args[0]]
	}
	ts.Logf("runs of %s: %d", args[0], total)
	if total < minRuns || total > maxRuns {
		ts.Fatalf("want %d to %d runs of %s, got %d", minRuns, maxRuns, args[0], total)
	}
}

// cmdFaults sets the faults of the platform, given as the JSON of objapi.Faults:
// faults JSON
func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	var faults objapi.Faults
	ts.Check(json.Unmarshal([]byte(args[0]), &faults))
	ts.Check(stateOf(ts).fleet.SetFaults(context.Background(), faults))
}

// cmdSettled waits until all nodes see all upstreams as ready and each zone has an
// allocator: settled
func cmdSettled(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Check(stateOf(ts).fleet.AwaitSettled(context.Background()))
}

// cmdSignal sends a signal to nodes or the platform: signal TERM|KILL|STOP|CONT NAME...
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "TERM": syscall.SIGTERM}
	for _, name := range args[1:] {
		ts.Check(process(ts, name).Signal(signals[args[0]]))
	}
}

// cmdExits waits until a node exits, and checks its exit code: exits CODE NAME
// The code of a node that was killed is -1.
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	code, err := process(ts, args[1]).Wait(exitTimeout)
	ts.Check(err)
	if code != want {
		ts.Fatalf("%s exited with %d, want %d", args[1], code, want)
	}
}

// cmdStart kills nodes or the platform if they are running, and starts them again:
// start NAME...
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		p := process(ts, name)
		p.Kill()
		ts.Check(p.Start())
	}
}

// cmdUpstream kills or restarts the upstream of a node: upstream kill|start NODE
func cmdUpstream(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).fleet.Host(args[1]).Upstream
	p.Kill()
	if args[0] == "start" {
		ts.Check(p.Start())
	}
}

// cmdSleep pauses the script: sleep DURATION
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// process returns the process of the node with the given name, or of the platform
// for the name "platform".
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
