package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of a small deployment.
const (
	drainMs     = 2000
	maxHoldMs   = 10000
	graceS      = 6
	heartbeatMs = 870
)

// daemon is one process of the project.
type daemon struct {
	name, ip, role string
	first          bool
	command        *exec.Cmd
	ended          chan struct{}
	log            *os.File
}

// system is a deployment on loopback addresses: control hosts at 127.0.prefix.10 and up, entry hosts at 127.0.prefix.20 and up.
type system struct {
	folder  string
	prefix  int
	ports   [4]int // callers, readiness, control, peers
	daemons map[string]*daemon
	control []string // addresses at which control hosts accept calls of workers and operators
	seeds   []string
	mutex   sync.Mutex
}

func newSystem(controls, entries int) (s *system, err error) {
	s = &system{prefix: 1 + os.Getpid()%200, daemons: map[string]*daemon{}}
	if s.folder, err = os.MkdirTemp("", "ebonyrill-review"); err != nil {
		return nil, err
	}
	for i := range s.ports {
		if s.ports[i], err = s.freePort(controls, entries); err != nil {
			return nil, err
		}
	}
	for i := range controls {
		name, ip := fmt.Sprint("control-", i), fmt.Sprintf("127.0.%d.%d", s.prefix, 10+i)
		s.daemons[name] = &daemon{name: name, ip: ip, role: "control"}
		s.control = append(s.control, fmt.Sprintf("%s:%d", ip, s.ports[2]))
	}
	s.seeds = s.control[:min(3, len(s.control))]
	for i := range entries {
		name := fmt.Sprint("entry-", i)
		s.daemons[name] = &daemon{name: name, ip: fmt.Sprintf("127.0.%d.%d", s.prefix, 20+i), role: "entry"}
	}
	return s, nil
}

// freePort returns a port that is free at all addresses of the daemons.
func (s *system) freePort(controls, entries int) (port int, err error) {
	for range 50 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.10:0", s.prefix))
		if err != nil {
			return 0, err
		}
		port = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := port != s.ports[0] && port != s.ports[1] && port != s.ports[2] && port != s.ports[3]
		for i := range controls + entries {
			host := 10 + i
			if i >= controls {
				host = 20 + i - controls
			}
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", s.prefix, host, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func (s *system) entryAddress(i int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", s.prefix, 20+i, s.ports[0])
}

// render fills in a template of the deploy folder. It supports the features that the templates use.
func render(template string, fields map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{([#^])([a-z.-]+)\}\}(.*?)\{\{/([a-z.-]+)\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		value := fields[m[2]]
		if absent := value == "" || value == "false"; absent != (m[1] == "^") {
			return ""
		}
		return strings.ReplaceAll(m[3], "{{.}}", value)
	})
	return regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`).ReplaceAllStringFunc(template, func(text string) string {
		return fields[strings.Trim(text, "{}")]
	})
}

func (s *system) settingsFile(d *daemon) string { return filepath.Join(s.folder, d.name+".ini") }

// start writes a daemon's settings and starts it with the command of the deploy file. first tells whether the whole system starts
// for the first time.
func (s *system) start(name string, first bool) error {
	d := s.daemons[name]
	address := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, s.ports[port]) }
	fields := map[string]string{"node-name": name, "zone": "zone-a", "listen.front": address(0), "listen.ready": address(1), "listen.control": address(2),
		"ip": d.ip, "internal-ports.0": fmt.Sprint(s.ports[3]), "internal-ports.1": "0", "seeds": strings.Join(s.seeds, ","),
		"data-dir": filepath.Join(s.folder, name), "bootstrap": fmt.Sprint(first), "in-fault-budget": "true", "fault-tolerance.machines": fmt.Sprint((len(s.control) - 1) / 2),
		"bounds.max-hold-ms": fmt.Sprint(maxHoldMs), "bounds.drain-ms": fmt.Sprint(drainMs), "bounds.retry-budget-ratio": "0.2",
		"bounds.retry-budget-base": "62", "bounds.budget-window-s": "10", "bounds.grace-s": fmt.Sprint(graceS)}
	template, err := os.ReadFile("deploy/" + d.role + ".ini")
	if err != nil {
		return err
	}
	if err = os.WriteFile(s.settingsFile(d), []byte(render(string(template), fields)), 0o600); err != nil {
		return err
	}
	if d.log == nil {
		if d.log, err = os.Create(filepath.Join(s.folder, name+".log")); err != nil {
			return err
		}
	}
	d.command = exec.Command("target/ebonyrilld", "run")
	d.command.Env = append(os.Environ(), "EBONYRILL_SETTINGS="+s.settingsFile(d))
	d.command.Stdout, d.command.Stderr = d.log, d.log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = d.command.Start(); err != nil {
		return err
	}
	ended, command := make(chan struct{}), d.command
	d.ended = ended
	go func() { _ = command.Wait(); close(ended) }()
	return nil
}

func (s *system) signal(name string, sig syscall.Signal) {
	_ = s.daemons[name].command.Process.Signal(sig)
}

// kill ends a daemon with SIGKILL and waits for its end.
func (s *system) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.daemons[name].ended
}

// endAll ends all daemons that are running.
func (s *system) endAll() {
	for _, d := range s.daemons {
		if d.command != nil {
			_ = d.command.Process.Signal(syscall.SIGCONT)
			_ = d.command.Process.Kill()
			<-d.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// startAll starts all daemons for the first time.
func (s *system) startAll() error {
	for name := range s.daemons {
		if err := s.start(name, true); err != nil {
			return err
		}
	}
	return nil
}

// patch sends a change of the configuration to a control host and returns the status, zero for none.
func (s *system) patch(host int, body string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.control[host]+"/config/patch", "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// patchUntilAcknowledged sends a change to the control hosts in turn until one acknowledges it.
func (s *system) patchUntilAcknowledged(body string) error {
	for i := range 200 {
		if s.patch(i%len(s.control), body) == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}
