package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
)

// Ports of a host, as in the example of the platform's settings.
const (
	portControl  = 8540
	portInbound  = 8543
	portStore    = 8545
	portReady    = 8546
	portApp      = 8547
	portOutbound = 8548
	portAdmin    = 7000
)

// fleet is a small deployment: a store, and hosts with a node and a backend each.
type fleet struct {
	dir      string
	hosts    []*host
	node     string // program
	prefix   string // of all addresses
	store    *objapi.Server
	storeURL string
	zones    []string

	mu      sync.Mutex
	file    *os.File
	record  *bufio.Writer
	started time.Time
	version int
	closed  bool
	procs   map[*exec.Cmd]struct{}
}

// host is a machine with a node and a backend.
type host struct {
	backend *backend
	fleet   *fleet
	ip      string
	name    string
	service string
	zone    string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func newFleet(node, record string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, file: file, node: node, procs: make(map[*exec.Cmd]struct{}), record: bufio.NewWriter(file), started: time.Now(), store: objapi.New()}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		address := fmt.Sprintf("%s250:%d", f.prefix, portStore)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		f.storeURL = "http://" + address
		go func() { _ = http.Serve(listener, f.store) }()
		return f, nil
	}
	return nil, fmt.Errorf("no loopback address is free for the store")
}

// note writes a line to the record, with the time since the start.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%9.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	_ = f.record.Flush()
}

// add adds a host. The settings name its service.
func (f *fleet) add(zone, service string, options backendOptions) *host {
	n := len(f.hosts) + 1
	h := &host{fleet: f, ip: fmt.Sprintf("%s%d", f.prefix, n), name: fmt.Sprintf("side-%s-%d", zone, n), service: service, zone: zone}
	h.backend = newBackend(h, options)
	f.hosts = append(f.hosts, h)
	if !strings.Contains(","+strings.Join(f.zones, ",")+",", ","+zone+",") {
		f.zones = append(f.zones, zone)
	}
	return h
}

func (h *host) address(port int) string {
	return fmt.Sprintf("%s:%d", h.ip, port)
}

// settings returns the node's settings, as the platform fills in deploy/settings.ini.
func (h *host) settings(first bool) string {
	var regions []string
	for _, zone := range h.fleet.zones {
		regions = append(regions, zone+":home")
	}
	return fmt.Sprintf(`[Node]
Dialect = Platform
FirstStart = %t
Service = %s
Zone = %s

[Listen]
Admin = %s
Callers = %s
Peers = %s
Ready = %s
Server = %s
Upstream = %s

[Platform]
URL = %s

[Fleet]
Regions = %s
Zones = %s

[Limits]
Expiry = 12s
Grace = 6s
LameDuck = 3300ms
Procs = 1
RetryRatio = 0.2
RetrySlack = 47
`, first, h.service, h.zone, h.address(portAdmin), h.address(portOutbound), h.address(portInbound), h.address(portReady),
		h.address(portApp), h.address(portControl), h.fleet.storeURL, strings.Join(regions, ","), strings.Join(h.fleet.zones, ","))
}

// start starts the host's node.
func (h *host) start(first bool) error {
	file := filepath.Join(h.fleet.dir, h.name+".conf")
	if err := os.WriteFile(file, []byte(h.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.fleet.node, "node", "-settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	h.fleet.mu.Lock()
	h.fleet.procs[cmd] = struct{}{}
	h.fleet.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		h.fleet.mu.Lock()
		delete(h.fleet.procs, cmd)
		h.fleet.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the host's node.
func (h *host) signal(s syscall.Signal) {
	h.fleet.note("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// startAll starts all backends and nodes, writes the first config and waits until all nodes
// are ready and serve.
func (f *fleet) startAll(c *config) error {
	if err := f.write(c); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if h.service == "" {
			continue
		}
		if err := h.backend.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.start(true); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	// The first reports of the backends have to reach all nodes.
	time.Sleep(5 * time.Second)
	f.note("all nodes are ready")
	return nil
}

// awaitReady waits until the node answers 200 at its ready address.
func (h *host) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.address(portReady) + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.name, within)
}

// config is the operator's config.
type config struct {
	Version  string         `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants,omitempty"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	RouteType   string `json:"route_type"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	NoAuth      bool   `json:"no_auth"`
}

type service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path"`
	MaxConnections int    `json:"max_connections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
	PerS    int      `json:"per_s,omitempty"`
	Burst   int      `json:"burst,omitempty"`
}

func newService(name string) service {
	return service{Name: name, HealthPath: "/healthz", MaxConnections: 1500, Protocol: "h1"}
}

// write writes a config to the store as the operator does. The store's answer is its
// confirmation.
func (f *fleet) write(c *config) error {
	c.Limits = map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	f.version += 3
	c.Version = fmt.Sprintf("%08x", f.version)
	var revision uint64
	response, err := http.Get(f.storeURL + "/-/objects/config/main")
	if err != nil {
		return err
	}
	if response.StatusCode == http.StatusOK {
		var object struct {
			Metadata struct {
				Revision uint64 `json:"revision"`
			} `json:"metadata"`
		}
		if err := json.NewDecoder(response.Body).Decode(&object); err != nil {
			return err
		}
		revision = object.Metadata.Revision
	}
	_ = response.Body.Close()
	metadata := map[string]any{"name": "main"}
	method, url := http.MethodPost, f.storeURL+"/-/objects/config"
	if revision > 0 {
		metadata["revision"] = revision
		method, url = http.MethodPut, url+"/main"
	}
	body, err := json.Marshal(map[string]any{"metadata": metadata, "spec": c})
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err = http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer, _ := io.ReadAll(response.Body); response.StatusCode/100 != 2 {
		return fmt.Errorf("the store answered the config with %s: %s", response.Status, answer)
	}
	f.note("the store has confirmed version %s of the config", c.Version)
	return nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	procs := f.procs
	for cmd := range procs {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
	}
	f.mu.Unlock()
	for _, h := range f.hosts {
		if h.exited != nil {
			select {
			case <-h.exited:
			case <-time.After(3 * time.Second):
			}
		}
		h.backend.stop()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	if os.Getenv("RIG2_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}
