package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"ebonyrill.dev/ebonyrill/internal/sample/load"
	"ebonyrill.dev/ebonyrill/internal/shared/events"
	"ebonyrill.dev/ebonyrill/internal/shared/oper"
)

// Sizes and times of the cluster of real processes.
const (
	fewVoters  = 3
	moreVoters = 5
	waitBound  = 40 * time.Second // for a condition
	logTail    = 2000             // bytes of each log that are printed
)

// cluster runs real processes of daemons and sample upstreams for a test.
type cluster struct {
	c         *qt.C
	bin       string
	folder    string
	host      []daemonAddresses
	running   map[string]*exec.Cmd
	serial    int
	voters    int
	security  *clusterSecurity
	work      time.Duration
	limits    string // further sections of the settings
	lastError atomic.Pointer[string]
}

// daemonAddresses are the addresses at which a daemon listens.
type daemonAddresses struct {
	callers, peers, admin string
}

// build compiles the programs once per test process and returns their folder.
var build = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "ebonyrill-test")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", folder, "ebonyrill.dev/ebonyrill/cmd/ebonyrill",
		"ebonyrill.dev/ebonyrill/cmd/ebonyrilld", "ebonyrill.dev/ebonyrill/cmd/ebonyrill-sample").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return folder, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if folder, err := build(); err == nil {
		_ = os.RemoveAll(folder)
	}
	os.Exit(code)
}

// portCursor is where freeAddress continues its search, so that no port is used twice in this test process.
var portCursor struct {
	sync.Mutex
	next int
}

func freeAddress(c *qt.C) string {
	c.Helper()
	portCursor.Lock()
	defer portCursor.Unlock()
	port, err := load.FreePorts(portCursor.next, 1)
	c.Assert(err, qt.IsNil)
	portCursor.next = port + 1
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// mustCluster starts the given number of control hosts and one more host with only the entry role, publishes the services of
// _fixtures and starts sample upstreams.
func mustCluster(t *testing.T, voters int) *cluster {
	cl := newCluster(t, voters)
	cl.startAll()
	return cl
}

// newCluster builds the programs and reserves addresses. It starts no process.
func newCluster(t *testing.T, voters int) *cluster {
	cl := &cluster{c: qt.New(t), folder: t.TempDir(), running: map[string]*exec.Cmd{}, voters: voters}
	var err error
	cl.bin, err = build()
	cl.c.Assert(err, qt.IsNil)
	cl.c.Cleanup(cl.endAll)
	for range voters + 1 {
		cl.host = append(cl.host, daemonAddresses{freeAddress(cl.c), freeAddress(cl.c), freeAddress(cl.c)})
	}
	return cl
}

func (cl *cluster) startAll() {
	cl.c.Helper()
	for i := range cl.host {
		cl.writeSettings(i, i < cl.voters)
		cl.startHost(i)
	}
	cl.eventually("group", func() bool { return cl.run("hosts", "init") == nil })
	cl.mustRun("publish", "--wait", "../../../_fixtures/services")
	for i := range 3 {
		cl.startUpstream(fmt.Sprintf("frame%d", i), "frameRegister")
		cl.startUpstream(fmt.Sprintf("lists%d", i), "listesvc")
	}
	cl.awaitSettled(6)
}

func (cl *cluster) writeSettings(i int, control bool) {
	var addresses []string
	for _, h := range cl.host[:cl.voters] {
		addresses = append(addresses, h.peers)
	}
	text := fmt.Sprintf("[host]\nname = host%d\ndataCentre = centre-%d\n[listen]\ncallers = %s\npeers = %s\nadmin = %s\n[control]\naddresses = %s\n",
		i, i%3, cl.host[i].callers, cl.host[i].peers, cl.host[i].admin, strings.Join(addresses, ", "))
	if control {
		text += "dataFolder = " + filepath.Join(cl.folder, fmt.Sprintf("data%d", i)) + "\n"
	}
	text += "[drain]\nnotice = 700ms\nbound = 10s\n" + cl.security.settings() + cl.limits
	cl.c.Assert(os.WriteFile(cl.settings(i), []byte(text), 0o600), qt.IsNil)
}

func (cl *cluster) settings(i int) string {
	return filepath.Join(cl.folder, fmt.Sprintf("host%d.ini", i))
}

func (cl *cluster) start(name, program string, args ...string) {
	cl.c.Helper()
	cmd := exec.Command(filepath.Join(cl.bin, program), args...)
	log, err := os.OpenFile(filepath.Join(cl.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cl.c.Assert(err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = log, log
	cl.c.Assert(cmd.Start(), qt.IsNil)
	cl.running[name] = cmd
}

func (cl *cluster) startHost(i int) {
	cl.start(fmt.Sprintf("host%d", i), "ebonyrilld", "run", "--settings", cl.settings(i))
}

func (cl *cluster) startUpstream(name, service string, more ...string) {
	cl.serial++
	var admins []string
	for _, h := range cl.host {
		admins = append(admins, h.admin)
	}
	args := []string{"--name", name, "--service", service, "--address", freeAddress(cl.c), "--data-centre", "centre-0",
		"--entries", strings.Join(admins, ","), "--journal", filepath.Join(cl.folder, fmt.Sprintf("%s-%d.journal", name, cl.serial)), "--slots", "6", "--work", cl.work.String()}
	cl.start(name, "ebonyrill-sample", append(args, more...)...)
}

// signal sends a signal to a process that this test started.
func (cl *cluster) signal(name string, s syscall.Signal) { _ = cl.running[name].Process.Signal(s) }

// wait waits until a process has ended and returns its error.
func (cl *cluster) wait(name string) error {
	err := cl.running[name].Wait()
	delete(cl.running, name)
	return err
}

// kill sends SIGKILL to a host and waits for its end.
func (cl *cluster) kill(host int) {
	name := fmt.Sprintf("host%d", host)
	cl.signal(name, syscall.SIGKILL)
	_ = cl.wait(name)
}

func (cl *cluster) endAll() {
	for name := range cl.running {
		cl.signal(name, syscall.SIGCONT)
		cl.signal(name, syscall.SIGKILL)
	}
	for name := range cl.running {
		_ = cl.wait(name)
	}
}

// command runs an operator's command and returns its standard output. The error contains the standard error.
func (cl *cluster) command(args ...string) (string, error) {
	var peers []string
	for _, h := range cl.host[:cl.voters] {
		peers = append(peers, h.peers)
	}
	options := append([]string{"--hosts", strings.Join(peers, ",")}, cl.security.options()...)
	cmd := exec.Command(filepath.Join(cl.bin, "ebonyrill"), append(options, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, errOut.String())
		fault := err.Error()
		cl.lastError.Store(&fault)
	}
	return out.String(), err
}

func (cl *cluster) run(args ...string) error {
	_, err := cl.command(args...)
	return err
}

func (cl *cluster) mustRun(args ...string) string {
	cl.c.Helper()
	out, err := cl.command(args...)
	cl.c.Assert(err, qt.IsNil)
	return out
}

func (cl *cluster) eventually(what string, condition func() bool) {
	cl.c.Helper()
	for until := time.Now().Add(waitBound); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	cl.printLogs()
	lastError := "none"
	if last := cl.lastError.Load(); last != nil {
		lastError = *last
	}
	cl.c.Fatalf("condition not reached: %s; last error of a command: %s", what, lastError)
}

// printLogs prints the end of each process's log, for a test that is about to fail.
func (cl *cluster) printLogs() {
	names, _ := filepath.Glob(filepath.Join(cl.folder, "*.log"))
	for _, name := range names {
		text, _ := os.ReadFile(name)
		cl.c.Logf("%s: %s", filepath.Base(name), text[max(0, len(text)-logTail):])
	}
}

func (cl *cluster) status() (s oper.StatusResponse, ok bool) {
	out, err := cl.command("status", "--json")
	if err != nil || json.Unmarshal([]byte(out), &s) != nil {
		return s, false
	}
	return s, true
}

// awaitSettled waits until the upstreams are known, all slices have an owner and no handover is in progress.
func (cl *cluster) awaitSettled(upstreams int) {
	cl.c.Helper()
	cl.eventually("all slices owned", func() bool {
		s, ok := cl.status()
		return ok && len(s.Upstreams) == upstreams && s.Unowned == 0 && s.Handovers == 0
	})
}

// leaderIndex returns the index of the host that is the leader of the control group.
func (cl *cluster) leaderIndex() int {
	cl.c.Helper()
	s, ok := cl.status()
	cl.c.Assert(ok, qt.IsTrue)
	for _, m := range s.Members {
		for i, h := range cl.host {
			if m.Leader && m.Address == h.peers {
				return i
			}
		}
	}
	cl.c.Fatal("no leader")
	return 0
}

// underLoad calls do while load is sent, and checks afterwards that no guarantee was violated.
func (cl *cluster) underLoad(duration time.Duration, do func()) load.Report {
	cl.c.Helper()
	o := load.Options{Keys: 100, Rate: 100, Duration: duration, WriteShare: 0.4, Seed: 3,
		Services: []load.Service{{Prefix: "/frames", Write: "closure"}, {Prefix: "/lists", Write: "reorder"}}}
	for _, h := range cl.host {
		o.Entries = append(o.Entries, load.Entry{Callers: h.callers, Admin: h.admin})
	}
	result := make(chan load.Result, 1)
	go func() { result <- load.Run(o) }()
	time.Sleep(time.Second)
	do()
	sent := <-result
	names, err := filepath.Glob(filepath.Join(cl.folder, "*.journal"))
	cl.c.Assert(err, qt.IsNil)
	executions, err := load.ReadJournals(names)
	cl.c.Assert(err, qt.IsNil)
	v := load.Verify(sent, executions)
	cl.c.Logf("%+v", v)
	cl.c.Assert(v.Violated(), qt.IsFalse, qt.Commentf("%+v", v))
	return v
}

// assertAllDone checks that every request had the outcome "done".
func assertAllDone(c *qt.C, v load.Report) {
	c.Helper()
	c.Assert(v.Outcomes, qt.DeepEquals, map[string]int{"done": v.Requests})
}

// TestGracefulStopAbortsNoRequest stops an entry host, an upstream and the leader by SIGTERM while each has requests in flight,
// and checks that every request is still answered.
func TestGracefulStopAbortsNoRequest(t *testing.T) {
	cl := newCluster(t, fewVoters)
	cl.work = 80 * time.Millisecond
	cl.startAll()
	v := cl.underLoad(9*time.Second, func() {
		cl.signal("host3", syscall.SIGTERM)
		cl.signal("frame0", syscall.SIGTERM)
		cl.c.Check(cl.wait("host3"), qt.IsNil)
		cl.c.Check(cl.wait("frame0"), qt.IsNil)
		leader := fmt.Sprintf("host%d", cl.leaderIndex())
		cl.signal(leader, syscall.SIGTERM)
		cl.c.Check(cl.wait(leader), qt.IsNil)
		cl.assertStoppedInTime(leader)
	})
	assertAllDone(cl.c, v)
	cl.assertStoppedInTime("host3")
}

// assertStoppedInTime checks, by its log, that a host stopped within the bound of its settings.
func (cl *cluster) assertStoppedInTime(host string) {
	cl.c.Helper()
	log, err := os.ReadFile(filepath.Join(cl.folder, host+".log"))
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(string(log), qt.Contains, fmt.Sprintf(`"event":%d`, events.Drained.Number()))
	cl.c.Assert(string(log), qt.Not(qt.Contains), fmt.Sprintf(`"event":%d`, events.DrainTimedOut.Number()))
}

// TestPausedProcessesKeepGuarantees stops upstreams, an entry host and the leader in turn by SIGSTOP for longer than a lease, and
// checks that nothing wrong happens when they continue.
func TestPausedProcessesKeepGuarantees(t *testing.T) {
	cl := mustCluster(t, fewVoters)
	cl.startUpstream("lists9", "listesvc", "--unchecked", "--work", "100ms")
	cl.startUpstream("frame9", "frameRegister", "--work", "100ms")
	cl.awaitSettled(8)
	cl.underLoad(14*time.Second, func() {
		for _, name := range []string{"frame9", "lists9", "host3", fmt.Sprintf("host%d", cl.leaderIndex())} {
			cl.signal(name, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			cl.signal(name, syscall.SIGCONT)
		}
	})
	cl.awaitSettled(8)
}

// TestLostDiskThenSecondLoss deletes the leader's data, replaces the host, and as soon as the replacement is reported complete
// kills as many hosts as the group tolerates. The group must still elect a leader: the report must not come too early.
func TestLostDiskThenSecondLoss(t *testing.T) {
	for _, voters := range []int{fewVoters, moreVoters} {
		t.Run(fmt.Sprint(voters, " voters"), func(t *testing.T) {
			cl := mustCluster(t, voters)
			cl.underLoad(9*time.Second, func() {
				lost := cl.leaderIndex()
				cl.kill(lost)
				cl.c.Assert(os.RemoveAll(filepath.Join(cl.folder, fmt.Sprintf("data%d", lost))), qt.IsNil)
				cl.startHost(lost)
				cl.eventually("replacement", func() bool { return cl.run("hosts", "replace", cl.host[lost].peers, cl.host[lost].peers) == nil })
				for i := range (voters - 1) / 2 {
					cl.kill((lost + 1 + i) % voters)
				}
			})
			cl.eventually("a leader after the second loss", func() bool { _, ok := cl.status(); return ok })
			cl.mustRun("publish", "../../../_fixtures/services")
		})
	}
}

// TestOperatorsRace publishes twice at once on the same base version: one publish is accepted and the other is not. Repeating the
// accepted one after the leader was killed must return its outcome again.
func TestOperatorsRace(t *testing.T) {
	cl := mustCluster(t, fewVoters)
	s, ok := cl.status()
	cl.c.Assert(ok, qt.IsTrue)
	base := fmt.Sprint(s.ConfigVersion)
	codes := make([]int, 2)
	var wait sync.WaitGroup
	for i := range codes {
		wait.Go(func() {
			err := cl.run("publish", "--base", base, "--id", fmt.Sprintf("20260102T150405.000Z-race%d", i), "../../../_fixtures/services")
			var exit *exec.ExitError
			if err != nil && errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	wait.Wait()
	cl.c.Assert(codes[0]+codes[1], qt.Equals, 3, qt.Commentf("exit codes of which one should be 0 and one 3: %v", codes))
	won := 0
	if codes[0] != 0 {
		won = 1
	}
	cl.kill(cl.leaderIndex())
	repeated := cl.mustRun("publish", "--base", base, "--id", fmt.Sprintf("20260102T150405.000Z-race%d", won), "../../../_fixtures/services")
	cl.c.Assert(repeated, qt.Contains, "accepted as version")
}

// TestPauseDuringRequest stops an upstream by SIGSTOP in the middle of a request, waits until another upstream owns the key and
// has run a second request, and lets the first upstream continue: the request that it had started must have no effect.
func TestPauseDuringRequest(t *testing.T) {
	for _, mode := range []string{"checked", "unchecked"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			cl := mustCluster(t, fewVoters)
			args := []string{"--work", "400ms"}
			if mode == "unchecked" {
				args = append(args, "--unchecked")
			}
			cl.startUpstream("frame9", "frameRegister", args...)
			cl.awaitSettled(7)
			key := cl.keyOf("frame9")
			go func() { _ = cl.closeFrame(key, "first") }()
			time.Sleep(150 * time.Millisecond)
			cl.signal("frame9", syscall.SIGSTOP)
			attempts := 0
			cl.eventually("another owner", func() bool {
				attempts++
				return cl.closeFrame(key, fmt.Sprint("second", attempts)) == "done"
			})
			cl.signal("frame9", syscall.SIGCONT)
			time.Sleep(time.Second)
			names, err := filepath.Glob(filepath.Join(cl.folder, "*.journal"))
			cl.c.Assert(err, qt.IsNil)
			executions, err := load.ReadJournals(names)
			cl.c.Assert(err, qt.IsNil)
			v := load.Verify(load.Result{}, executions)
			cl.c.Assert(v.Violated(), qt.IsFalse, qt.Commentf("%+v", v))
		})
	}
}

// keyOf returns a key that the upstream owns; it waits until the upstream has been given slices.
func (cl *cluster) keyOf(upstream string) (key string) {
	cl.c.Helper()
	cl.eventually("a key of "+upstream, func() bool {
		for i := range 40 {
			key = fmt.Sprintf("key%d", i)
			out, err := cl.command("--json", "owners", "--service", "frameRegister", key)
			if err == nil && strings.Contains(out, `"owner": "`+upstream+`"`) {
				return true
			}
		}
		return false
	})
	return key
}

// closeFrame sends a write ("closure") for a key through the host that has only the entry role, and returns the outcome.
func (cl *cluster) closeFrame(key, id string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+cl.host[cl.voters].callers+"/frames/"+key+"/closure", strings.NewReader("x"))
	if err != nil {
		return err.Error()
	}
	r.Header.Set("Ebonyrill-Request-Id", id)
	r.Header.Set("Ebonyrill-Attempt", "1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	_ = response.Body.Close()
	return response.Header.Get("Ebonyrill-Outcome")
}
