package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// Ports of the listeners of a host, and that of the platform's store.
const (
	portAdmin   = 7000
	portStore   = 8545
	portInbound = 8543
	portOut     = 8548
	portReady   = 8546
	portControl = 8540
	portServer  = 8547
)

// graceS is the time in seconds between a SIGTERM and the kill, as on the small installations.
const graceS = 6

// host is a machine with a node and a server.
type host struct {
	ip, name, service, zone string

	node   *exec.Cmd
	ended  chan struct{} // closed when the node's process has ended
	server *server
}

func (h *host) address(port int) string { return net.JoinHostPort(h.ip, strconv.Itoa(port)) }

// fleet is the platform's store and the hosts of a case.
type fleet struct {
	dir    string // temporary
	hosts  []*host
	prefix string
	record *record
	root   string // of the repository
	store  *objapi.Server
	zones  []string

	closing     sync.Once
	storeServer *http.Server
	version     int
	revision    uint64 // of config/main
}

// newFleet reserves loopback addresses and starts the store. The hosts are given as zone:service.
func newFleet(root string, rec *record, hosts ...string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: rec, root: root, store: objapi.New()}
	var listener net.Listener
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		if listener, err = net.Listen("tcp", f.prefix+"254:"+strconv.Itoa(portStore)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	allFleets.Store(f, nil)
	f.storeServer = &http.Server{Handler: f.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = f.storeServer.Serve(listener) }()
	for i, spec := range hosts {
		zone, service, _ := strings.Cut(spec, ":")
		f.hosts = append(f.hosts, &host{ip: f.prefix + strconv.Itoa(i+1), name: "n" + strconv.Itoa(i+1), service: service, zone: zone})
		known := false
		for _, z := range f.zones {
			known = known || z == zone
		}
		if !known {
			f.zones = append(f.zones, zone)
		}
	}
	return f, nil
}

// allFleets has the fleets that were started.
var allFleets sync.Map

// closeFleets closes the fleets that are open.
func closeFleets() {
	allFleets.Range(func(f, _ any) bool {
		f.(*fleet).close()
		return true
	})
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() { f.closing.Do(f.closeOnce) }

func (f *fleet) closeOnce() {
	for _, h := range f.hosts {
		f.kill(h)
		if h.server != nil {
			h.server.close()
		}
	}
	_ = f.storeServer.Close()
	_ = os.RemoveAll(f.dir)
}

// putConfig writes config/main with the next version. The text has the fields after version.
func (f *fleet) putConfig(fields string) error {
	f.version++
	value := fmt.Sprintf(`{"version":"%08x",%s}`, f.version, fields)
	revision, err := objs.New("http://"+f.prefix+"254:"+strconv.Itoa(portStore)).Put(context.Background(), "config/main", []byte(value), f.revision)
	f.revision = revision
	f.record.add("config version %d confirmed at revision %d", f.version, revision)
	return err
}

// settings fills in deploy/settings.ini as the platform does.
func (f *fleet) settings(h *host, bootstrap bool) (string, error) {
	data, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.ini"))
	if err != nil {
		return "", err
	}
	var regions []string
	for _, z := range f.zones {
		regions = append(regions, z+":region")
	}
	text := strings.NewReplacer(
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(regions, ","),
		"{{#zones}}{{@}}{{,}}{{/zones}}", strings.Join(f.zones, ","),
		"{{bootstrap}}", strconv.FormatBool(bootstrap), "{{service}}", h.service, "{{zone}}", h.zone,
		"{{ip}}", h.ip, "{{port_range.0}}", strconv.Itoa(portAdmin),
		"{{listen.outbound}}", h.address(portOut), "{{listen.inbound}}", h.address(portInbound),
		"{{listen.ready}}", h.address(portReady), "{{listen.control}}", h.address(portControl),
		"{{app_address}}", h.address(portServer), "{{platform.address}}", f.prefix+"254:"+strconv.Itoa(portStore),
		"{{bounds.grace_s}}", strconv.Itoa(graceS), "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "47",
	).Replace(string(data))
	if strings.Contains(text, "{{") {
		return "", errors.New("a placeholder of deploy/settings.ini is not known: " + text)
	}
	return text, nil
}

// start starts the node of a host with the run command of the deploy file.
func (f *fleet) start(h *host, bootstrap bool) error {
	text, err := f.settings(h, bootstrap)
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, h.name+".conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	node := exec.Command(filepath.Join(f.root, "target", "wasabibend"), "node", "-settings", file)
	node.Dir = f.root
	node.Stdout, node.Stderr = log, log
	node.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.node, h.ended = node, ended
	go func() {
		_ = node.Wait()
		close(ended)
	}()
	f.record.add("node %s started, bootstrap=%t", h.name, bootstrap)
	return nil
}

// signal sends a signal to the node of a host.
func (f *fleet) signal(h *host, s syscall.Signal) {
	f.record.add("%v to node %s", s, h.name)
	_ = h.node.Process.Signal(s)
}

// kill ends the node of a host if it runs.
func (f *fleet) kill(h *host) {
	if h.node == nil {
		return
	}
	_ = h.node.Process.Signal(syscall.SIGCONT)
	_ = h.node.Process.Kill()
	<-h.ended
}

// ready reports whether a node says that it is ready.
func (f *fleet) ready(h *host) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.address(portReady) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range f.hosts {
			all = all && f.ready(h)
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the nodes are not ready in time")
		}
	}
}

// startAll starts the servers and the nodes of all hosts for the first time.
func (f *fleet) startAll(options serverOptions) error {
	for _, h := range f.hosts {
		h.server = newServer(f.record, h, options)
		if err := h.server.start(); err != nil {
			return err
		}
		if err := f.start(h, true); err != nil {
			return err
		}
	}
	return f.awaitReady(15 * time.Second)
}

// configOf returns the fields of a small configuration with one route that needs no key.
func configOf(kind string, timeoutMS int) string {
	return fmt.Sprintf(`"routes":[{"name":"r1","host":"a.example","path_prefix":"/a/","route_type":%q,"timeout_ms":%d,"target_latency_ms":1200,"priority":1,"service":"sa","max_attempts":2,"no_auth":false}],
"services":[{"name":"sa","health_path":"/healthz","max_connections":900}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["keykeykeykeykeykey01"],"priority":1,"per_s":2000,"burst":2000}]`, kind, timeoutMS)
}
