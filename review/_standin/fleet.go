package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine, and the port of the platform's store.
const (
	portAdmin   = 7000
	portBackend = 8547
	portControl = 8540
	portInbound = 8543
	portOutside = 8548
	portReady   = 8546
	portStore   = 8545
)

// apiKey is the only key in the configurations.
const apiKey = "6wsjnbanfqasnmgkcuyj"

// process is a process that the test has started.
type process struct {
	args []string
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// start starts the process.
func (p *process) start() error {
	file, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = file, file
	// If the driver is killed, its children end with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, done := make(chan error), make(chan struct{})
	go func() {
		// The kernel sends the signal when the thread ends that started the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(done)
		defer file.Close()
		err := cmd.Start()
		started <- err
		if err == nil {
			_ = cmd.Wait()
		}
	}()
	if err := <-started; err != nil {
		return err
	}
	p.cmd, p.done = cmd, done
	return nil
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

// machine is a simulated machine with a node and the backend beside it.
type machine struct {
	backend *process
	ip      string
	journal string // file in which the backend records what it runs
	name    string
	node    *process
	service string
	// settings is the path of the node's settings file.
	settings string
	zone     string
}

// startAgain starts the node again. The platform fills in the settings anew at every start;
// only at the first start of the whole system is bootstrap true.
func (m *machine) startAgain() error {
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	text = bytes.Replace(text, []byte("FirstStart = true"), []byte("FirstStart = false"), 1)
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return err
	}
	return m.node.start()
}

func (m *machine) address(port int) string {
	return net.JoinHostPort(m.ip, fmt.Sprint(port))
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// fleet is a small installation on loopback addresses.
type fleet struct {
	dir      string
	lock     net.Listener // reserves the addresses
	machines []*machine
	store    *process
	storeAt  string
}

// machineSpec describes a machine. backendArgs are added to those of its backend.
type machineSpec struct {
	backendArgs   []string
	service, zone string
}

// newFleet reserves addresses and writes the settings of all nodes, from the template
// of the deploy file. root is the repository.
func newFleet(root, dir string, specs []machineSpec) (*fleet, error) {
	f := &fleet{dir: dir}
	var a, b int
	for tries := 0; ; tries++ {
		a, b = 16+rand.IntN(200), rand.IntN(250)
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.254:7999", a, b))
		if err == nil {
			f.lock = lock
			break
		}
		if tries == 100 {
			return nil, err
		}
	}
	tools := filepath.Join(root, "target", "review")
	f.storeAt = fmt.Sprintf("127.%d.%d.254:%d", a, b, portStore)
	f.store = &process{args: []string{filepath.Join(tools, "platform"), "-listen", f.storeAt}, log: filepath.Join(dir, "store.log")}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.ini"))
	if err != nil {
		return nil, err
	}
	var zones []string
	for _, spec := range specs {
		if !strings.Contains(","+strings.Join(zones, ",")+",", ","+spec.zone+",") {
			zones = append(zones, spec.zone)
		}
	}
	for i, spec := range specs {
		m := &machine{ip: fmt.Sprintf("127.%d.%d.%d", a, b, i+1), name: fmt.Sprintf("side-%d", i+1), service: spec.service, zone: spec.zone}
		m.journal = filepath.Join(dir, m.name+".runs")
		m.settings = filepath.Join(dir, m.name+".conf")
		text, err := fill(string(template), m, zones, f.storeAt)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		// The run command of the deploy file, with the path of this machine's settings.
		m.node = &process{args: []string{filepath.Join(root, "target", "wasabibend"), "node", "-settings", m.settings}, log: filepath.Join(dir, m.name+"-node.log")}
		args := []string{
			filepath.Join(tools, "standin"), "backend", "-address", m.address(portBackend), "-control", m.address(portControl),
			"-journal", m.journal, "-service", spec.service, "-zone", spec.zone,
		}
		m.backend = &process{args: append(args, spec.backendArgs...), log: filepath.Join(dir, m.name+"-backend.log")}
		f.machines = append(f.machines, m)
	}
	return f, nil
}

// fill fills in the template of a node's settings with the fields of a small deployment.
func fill(template string, m *machine, zones []string, store string) (string, error) {
	var pairs []string
	for _, zone := range zones {
		pairs = append(pairs, zone+":loop-region")
	}
	text := strings.NewReplacer(
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(pairs, ","),
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(zones, ","),
		"{{bootstrap}}", "true",
		"{{service}}", m.service,
		"{{zone}}", m.zone,
		"{{ip}}", m.ip,
		"{{port_range.0}}", fmt.Sprint(portAdmin),
		"{{listen.outbound}}", m.address(portOutside),
		"{{listen.inbound}}", m.address(portInbound),
		"{{listen.ready}}", m.address(portReady),
		"{{listen.control}}", m.address(portControl),
		"{{app_address}}", m.address(portBackend),
		"{{platform.address}}", store,
		"{{bounds.grace_s}}", "6",
		"{{bounds.retry_budget_ratio}}", "0.2",
		"{{bounds.retry_budget_slack}}", "47",
	).Replace(template)
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("the template of the settings has a placeholder that this test does not know")
	}
	return text, nil
}

// start starts the store, writes the configuration, and starts all machines. It returns
// when each node is ready and serves each of the given probes.
func (f *fleet) start(ctx context.Context, config any, probes []request) error {
	if err := f.store.start(); err != nil {
		return err
	}
	if err := await(ctx, func() error { return f.putConfig(config) }); err != nil {
		return err
	}
	for _, m := range f.machines {
		if err := m.node.start(); err != nil {
			return err
		}
		if err := m.backend.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := await(ctx, func() error { return checkReady(m) }); err != nil {
			return err
		}
		for _, probe := range probes {
			probe.to = m.address(portOutside)
			if err := await(ctx, func() error { return probe.expectOK() }); err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
		}
	}
	// The nodes know each other now. Give them the time after which they are in touch.
	time.Sleep(4 * time.Second)
	return nil
}

// putConfig writes the operator's configuration to the store.
func (f *fleet) putConfig(config any) error {
	spec, err := json.Marshal(config)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"metadata":{"name":"main"},"spec":%s,"status":null}`, spec)
	response, err := http.Post("http://"+f.storeAt+"/-/objects/config", "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answers %s", response.Status)
	}
	return nil
}

func (f *fleet) close() {
	for _, m := range f.machines {
		m.node.kill()
		m.backend.kill()
	}
	f.store.kill()
	_ = f.lock.Close()
}

// runs returns what all backends have recorded.
func (f *fleet) runs() ([]run, error) {
	var all []run
	for _, m := range f.machines {
		data, err := os.ReadFile(m.journal)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for line := range bytes.Lines(data) {
			r := run{Machine: m.name}
			if err := json.Unmarshal(line, &r); err != nil {
				// A backend that was killed may have written a part of its last line.
				continue
			}
			all = append(all, r)
		}
	}
	return all, nil
}

func checkReady(m *machine) error {
	response, err := http.Get("http://" + m.address(portReady) + "/-/readyz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s is not ready: %s", m.name, response.Status)
	}
	return nil
}

// await calls a function until it returns nil, for 25 seconds at most.
func await(ctx context.Context, check func() error) error {
	deadline := time.Now().Add(25 * time.Second)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Parts of the operator's configuration.
type (
	configuration struct {
		Version  string           `json:"version"`
		Routes   []map[string]any `json:"routes"`
		Services []map[string]any `json:"services"`
		Limits   map[string]any   `json:"limits"`
		Tenants  []map[string]any `json:"tenants"`
	}
)

// newConfiguration returns a configuration with the given routes and the services that
// they lead to.
func newConfiguration(routes ...map[string]any) configuration {
	c := configuration{
		Version: "00000007",
		Routes:  routes,
		Limits:  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants: []map[string]any{{"name": "pulo780", "api_keys": []string{apiKey}, "priority": 1}},
	}
	seen := make(map[string]bool)
	for _, r := range routes {
		service := r["service"].(string)
		if !seen[service] {
			seen[service] = true
			c.Services = append(c.Services, map[string]any{"name": service, "health_path": "/healthz", "max_connections": 1510, "protocol": "h1", "tls": false})
		}
	}
	return c
}

// route returns a route of the configuration.
func route(name, host, prefix, kind, service string, timeoutMS, targetMS, priority int, noAuth bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": priority, "max_attempts": 2, "no_auth": noAuth,
	}
}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  io.WriteCloser
	start time.Time
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line that begins with the time since the start.
func (r *record) add(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}
