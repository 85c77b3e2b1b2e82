// Upstream runs a stand-in for an upstream that announces itself to its node.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/wasabibend/wasabibend/internal/fakes/backnd"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "upstream:", err)
		os.Exit(1)
	}
}

func run() error {
	listen := flag.String("listen", "", "the `address` to listen on")
	node := flag.String("node", "", "the `address` of the node's listener for its upstream")
	service := flag.String("service", "", "the `name` of the service")
	serviceTime := flag.Duration("time", 0, "the `time` for which a request holds a slot")
	slots := flag.Int("slots", 0, "the `number` of slots; 0 means unlimited")
	flag.Parse()
	address, err := netip.ParseAddrPort(*listen)
	if err != nil {
		return err
	}
	nodeAddress, err := netip.ParseAddrPort(*node)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	s := backnd.New(backnd.Options{Address: address, Crash: func() { os.Exit(3) }, Node: nodeAddress, Service: *service, ServiceTime: *serviceTime, Slots: *slots})
	go s.Announce(ctx)
	server := &http.Server{Addr: *listen, Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		s.SetDraining(true)
		_ = server.Shutdown(context.Background())
	}()
	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
