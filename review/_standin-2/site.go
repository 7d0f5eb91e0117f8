package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds and runs it.
const program = "target/ebonyrilld"

// Bounds of the deployment, in the words of the platform's settings.
var bounds = fields{"bounds.max-hold-ms": 10000, "bounds.grace-s": 6, "bounds.drain-ms": 2000, "bounds.retry-budget-ratio": 0.2,
	"bounds.retry-budget-base": 62, "bounds.budget-window-s": 10, "fault-tolerance.machines": 2}

// Ports of the daemons; each daemon has an address of its own.
type ports struct{ control, front, ready, internal, admin int }

// site is a small deployment.
type site struct {
	record   *record
	folder   string
	network  string
	ports    ports
	controls []*daemon
	entries  []*daemon
	next     int
}

// daemon is one process of the system.
type daemon struct {
	site     *site
	name     string
	ip       string
	template string
	fields   fields
	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
}

func newSite(r *record) (s *site, err error) {
	s = &site{record: r, network: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))}
	if s.folder, err = os.MkdirTemp("", "standin-2-"); err != nil {
		return nil, err
	}
	base := 0
	for base == 0 {
		base = freePorts(s.network+"1", 5)
	}
	s.ports = ports{control: base, front: base + 1, ready: base + 2, internal: base + 3, admin: base + 4}
	return s, nil
}

// freePorts returns the first of some consecutive ports that nothing listens on, or zero.
func freePorts(ip string, count int) int {
	base := 20000 + rand.IntN(20000)
	for i := range count {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+i))
		if err != nil {
			return 0
		}
		_ = l.Close()
	}
	return base
}

// address returns an unused address of the site's network.
func (s *site) address() string {
	s.next++
	return fmt.Sprintf("%s%d", s.network, s.next)
}

// zones are the data centres; hosts are spread over them.
var zones = []string{"cairo-a", "cairo-b", "cairo-c"}

// deploy creates the daemons without starting them.
func (s *site) deploy(controls, entries int) {
	var seeds []string
	for i := range controls {
		d := &daemon{site: s, name: fmt.Sprintf("core-%d", i+1), ip: s.address(), template: "deploy/control.ini"}
		s.controls = append(s.controls, d)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", d.ip, s.ports.control))
		}
	}
	for i := range entries {
		s.entries = append(s.entries, &daemon{site: s, name: fmt.Sprintf("edge-%d", i+1), ip: s.address(), template: "deploy/entry.ini"})
	}
	for i, d := range slices.Concat(s.controls, s.entries) {
		d.fields = fields{"node-name": d.name, "zone": zones[i%len(zones)], "ip": d.ip, "internal-ports.0": s.ports.internal,
			"internal-ports.1": s.ports.admin, "seeds": strings.Join(seeds, ","), "bootstrap": true,
			"in-fault-budget": i < controls, "listen.control": fmt.Sprintf("%s:%d", d.ip, s.ports.control),
			"listen.front": fmt.Sprintf("%s:%d", d.ip, s.ports.front), "listen.ready": fmt.Sprintf("%s:%d", d.ip, s.ports.ready),
			"data-dir": filepath.Join(s.folder, "data-"+d.name)}
		for name, value := range bounds {
			d.fields[name] = value
		}
	}
}

// startAll starts all daemons.
func (s *site) startAll() (err error) {
	for _, d := range slices.Concat(s.controls, s.entries) {
		if err = d.start(); err != nil {
			return err
		}
	}
	return nil
}

// end kills all daemons and removes the site's folder.
func (s *site) end() {
	for _, d := range slices.Concat(s.controls, s.entries) {
		d.kill()
	}
	_ = os.RemoveAll(s.folder)
}

// controlAddresses returns the addresses at which workers and operators call.
func (s *site) controlAddresses() (list []string) {
	for _, d := range s.controls {
		list = append(list, d.fields["listen.control"].(string))
	}
	return list
}

// awaitReady waits until all entry daemons say that they are ready.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, d := range s.entries {
			if d.ready() {
				ready++
			}
		}
		if ready == len(s.entries) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entry daemons were not ready within %s", limit)
}

// ready asks the daemon as the provider does.
func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.fields["listen.ready"].(string)+"/ready", nil)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// start starts the daemon's process with its settings file.
func (d *daemon) start() (err error) {
	template, err := os.ReadFile(d.template)
	if err != nil {
		return err
	}
	settings := filepath.Join(d.site.folder, d.name+".ini")
	if err = os.WriteFile(settings, []byte(render(string(template), d.fields)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.site.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(program, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "EBONYRILL_SETTINGS=" + settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	d.mutex.Lock()
	d.command, d.exited = c, exited
	d.mutex.Unlock()
	d.site.record.write("start %s", d.name)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill kills the daemon's process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mutex.Lock()
	exited := d.exited
	d.command = nil
	d.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}
