// Mimic runs a stand-in for an upstream on the users' platform, for the soak.
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

	"github.com/wasabibend/wasabibend/platform/mimic"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mimic:", err)
		os.Exit(1)
	}
}

func run() error {
	var options mimic.Options
	flag.TextVar(&options.Address, "address", netip.AddrPort{}, "the `address` at which the node reaches the upstream")
	flag.Float64Var(&options.BrokenProbability, "broken", 0, "the `probability` that a request runs and gets a broken answer")
	flag.TextVar(&options.Callers, "callers", netip.AddrPort{}, "the `address` of the node's listener for callers")
	flag.Float64Var(&options.EarlyProbability, "early", 0, "the `probability` that a request with a long body is answered before the body has been read")
	flag.StringVar(&options.Host, "host", "", "the `host` name in the upstream's own calls")
	journal := flag.String("journal", "", "the `file` in which to record the requests that run")
	listen := flag.String("listen", "", "the `address` to listen on")
	flag.Float64Var(&options.LossProbability, "lost", 0, "the `probability` that the response to a request is lost")
	flag.TextVar(&options.Reports, "reports", netip.AddrPort{}, "the `address` of the node's listener for the upstream's reports")
	flag.StringVar(&options.Service, "service", "", "the `name` of the service")
	flag.IntVar(&options.Slots, "slots", 40, "the maximum `number` of requests that run at a time")
	flag.DurationVar(&options.ServiceTime, "work", 10*time.Millisecond, "the mean `time` for which a request runs")
	flag.StringVar(&options.Zone, "zone", "", "the `name` of the availability zone")
	flag.Parse()
	options.Crash = func() { os.Exit(1) }
	var err error
	if options.Journal, err = mimic.OpenJournal(*journal); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	upstream := mimic.NewUpstream(time.Now(), options)
	server := &http.Server{Addr: *listen, Handler: upstream, ReadHeaderTimeout: 10 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		upstream.SendReports(ctx)
		upstream.Drain(context.Background())
		_ = server.Shutdown(context.Background())
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	<-stopped
	return nil
}
