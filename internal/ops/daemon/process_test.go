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
	k := newCluster(t, voters)
	k.startAll()
	return k
}

// newCluster builds the programs and reserves addresses. It starts no process.
func newCluster(t *testing.T, voters int) *cluster {
	k := &cluster{c: qt.New(t), folder: t.TempDir(), running: map[string]*exec.Cmd{}, voters: voters}
	var err error
	k.bin, err = build()
	k.c.Assert(err, qt.IsNil)
	k.c.Cleanup(k.endAll)
	for range voters + 1 {
		k.host = append(k.host, daemonAddresses{freeAddress(k.c), freeAddress(k.c), freeAddress(k.c)})
	}
	return k
}

func (k *cluster) startAll() {
	k.c.Helper()
	for i := range k.host {
		k.writeSettings(i, i < k.voters)
		k.startHost(i)
	}
	k.eventually("group", func() bool { return k.run("hosts", "init") == nil })
	k.mustRun("publish", "--wait", "../../../_fixtures/services")
	for i := range 3 {
		k.startUpstream(fmt.Sprintf("frame%d", i), "frameRegister")
		k.startUpstream(fmt.Sprintf("lists%d", i), "listesvc")
	}
	k.awaitSettled(6)
}

func (k *cluster) writeSettings(i int, control bool) {
	var addresses []string
	for _, h := range k.host[:k.voters] {
		addresses = append(addresses, h.peers)
	}
	text := fmt.Sprintf("[host]\nname = host%d\ndataCentre = centre-%d\n[listen]\ncallers = %s\npeers = %s\nadmin = %s\n[control]\naddresses = %s\n",
		i, i%3, k.host[i].callers, k.host[i].peers, k.host[i].admin, strings.Join(addresses, ", "))
	if control {
		text += "dataFolder = " + filepath.Join(k.folder, fmt.Sprintf("data%d", i)) + "\n"
	}
	text += "[drain]\nnotice = 700ms\nbound = 10s\n" + k.security.settings()
	k.c.Assert(os.WriteFile(k.settings(i), []byte(text), 0o600), qt.IsNil)
}

func (k *cluster) settings(i int) string {
	return filepath.Join(k.folder, fmt.Sprintf("host%d.ini", i))
}

func (k *cluster) start(name, program string, args ...string) {
	k.c.Helper()
	cmd := exec.Command(filepath.Join(k.bin, program), args...)
	log, err := os.OpenFile(filepath.Join(k.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	k.c.Assert(err, qt.IsNil)
	cmd.Stdout, cmd.Stderr = log, log
	k.c.Assert(cmd.Start(), qt.IsNil)
	k.running[name] = cmd
}

func (k *cluster) startHost(i int) {
	k.start(fmt.Sprintf("host%d", i), "ebonyrilld", "run", "--settings", k.settings(i))
}

func (k *cluster) startUpstream(name, service string, more ...string) {
	k.serial++
	var admins []string
	for _, h := range k.host {
		admins = append(admins, h.admin)
	}
	args := []string{"--name", name, "--service", service, "--address", freeAddress(k.c), "--data-centre", "centre-0",
		"--entries", strings.Join(admins, ","), "--journal", filepath.Join(k.folder, fmt.Sprintf("%s-%d.journal", name, k.serial)), "--slots", "6", "--work", k.work.String()}
	k.start(name, "ebonyrill-sample", append(args, more...)...)
}

// signal sends a signal to a process that this test started.
func (k *cluster) signal(name string, s syscall.Signal) { _ = k.running[name].Process.Signal(s) }

// wait waits until a process has ended and returns its error.
func (k *cluster) wait(name string) error {
	err := k.running[name].Wait()
	delete(k.running, name)
	return err
}

// kill sends SIGKILL to a host and waits for its end.
func (k *cluster) kill(host int) {
	name := fmt.Sprintf("host%d", host)
	k.signal(name, syscall.SIGKILL)
	_ = k.wait(name)
}

func (k *cluster) endAll() {
	for name := range k.running {
		k.signal(name, syscall.SIGCONT)
		k.signal(name, syscall.SIGKILL)
	}
	for name := range k.running {
		_ = k.wait(name)
	}
}

// command runs an operator's command and returns its standard output. The error contains the standard error.
func (k *cluster) command(args ...string) (string, error) {
	var peers []string
	for _, h := range k.host[:k.voters] {
		peers = append(peers, h.peers)
	}
	options := append([]string{"--hosts", strings.Join(peers, ",")}, k.security.options()...)
	cmd := exec.Command(filepath.Join(k.bin, "ebonyrill"), append(options, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, errOut.String())
		fault := err.Error()
		k.lastError.Store(&fault)
	}
	return out.String(), err
}

func (k *cluster) run(args ...string) error {
	_, err := k.command(args...)
	return err
}

func (k *cluster) mustRun(args ...string) string {
	k.c.Helper()
	out, err := k.command(args...)
	k.c.Assert(err, qt.IsNil)
	return out
}

func (k *cluster) eventually(what string, condition func() bool) {
	k.c.Helper()
	for until := time.Now().Add(waitBound); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	k.printLogs()
	lastError := "none"
	if last := k.lastError.Load(); last != nil {
		lastError = *last
	}
	k.c.Fatalf("condition not reached: %s; last error of a command: %s", what, lastError)
}

// printLogs prints the end of each process's log, for a test that is about to fail.
func (k *cluster) printLogs() {
	names, _ := filepath.Glob(filepath.Join(k.folder, "*.log"))
	for _, name := range names {
		text, _ := os.ReadFile(name)
		k.c.Logf("%s: %s", filepath.Base(name), text[max(0, len(text)-logTail):])
	}
}

func (k *cluster) status() (s oper.StatusResponse, ok bool) {
	out, err := k.command("status", "--json")
	if err != nil || json.Unmarshal([]byte(out), &s) != nil {
		return s, false
	}
	return s, true
}

// awaitSettled waits until the upstreams are known, all slices have an owner and no handover is in progress.
func (k *cluster) awaitSettled(upstreams int) {
	k.c.Helper()
	k.eventually("all slices owned", func() bool {
		s, ok := k.status()
		return ok && len(s.Upstreams) == upstreams && s.Unowned == 0 && s.Handovers == 0
	})
}

// leaderIndex returns the index of the host that is the leader of the control group.
func (k *cluster) leaderIndex() int {
	k.c.Helper()
	s, ok := k.status()
	k.c.Assert(ok, qt.IsTrue)
	for _, m := range s.Members {
		for i, h := range k.host {
			if m.Leader && m.Address == h.peers {
				return i
			}
		}
	}
	k.c.Fatal("no leader")
	return 0
}

// underLoad calls do while load is sent, and checks afterwards that no guarantee was violated.
func (k *cluster) underLoad(duration time.Duration, do func()) load.Report {
	k.c.Helper()
	o := load.Options{Keys: 100, Rate: 100, Duration: duration, WriteShare: 0.4, Seed: 3,
		Services: []load.Service{{Prefix: "/frames", Write: "closure"}, {Prefix: "/lists", Write: "reorder"}}}
	for _, h := range k.host {
		o.Entries = append(o.Entries, load.Entry{Callers: h.callers, Admin: h.admin})
	}
	result := make(chan load.Result, 1)
	go func() { result <- load.Run(o) }()
	time.Sleep(time.Second)
	do()
	sent := <-result
	names, err := filepath.Glob(filepath.Join(k.folder, "*.journal"))
	k.c.Assert(err, qt.IsNil)
	executions, err := load.ReadJournals(names)
	k.c.Assert(err, qt.IsNil)
	v := load.Verify(sent, executions)
	k.c.Logf("%+v", v)
	k.c.Assert(v.Violated(), qt.IsFalse, qt.Commentf("%+v", v))
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
	k := newCluster(t, fewVoters)
	k.work = 80 * time.Millisecond
	k.startAll()
	v := k.underLoad(9*time.Second, func() {
		k.signal("host3", syscall.SIGTERM)
		k.signal("frame0", syscall.SIGTERM)
		k.c.Check(k.wait("host3"), qt.IsNil)
		k.c.Check(k.wait("frame0"), qt.IsNil)
		leader := fmt.Sprintf("host%d", k.leaderIndex())
		k.signal(leader, syscall.SIGTERM)
		k.c.Check(k.wait(leader), qt.IsNil)
		k.assertStoppedInTime(leader)
	})
	assertAllDone(k.c, v)
	k.assertStoppedInTime("host3")
}

// assertStoppedInTime checks, by its log, that a host stopped within the bound of its settings.
func (k *cluster) assertStoppedInTime(host string) {
	k.c.Helper()
	log, err := os.ReadFile(filepath.Join(k.folder, host+".log"))
	k.c.Assert(err, qt.IsNil)
	k.c.Assert(string(log), qt.Contains, fmt.Sprintf(`"event":%d`, events.Drained.Number()))
	k.c.Assert(string(log), qt.Not(qt.Contains), fmt.Sprintf(`"event":%d`, events.DrainTimedOut.Number()))
}

// TestPausedProcessesKeepGuarantees stops upstreams, an entry host and the leader in turn by SIGSTOP for longer than a lease, and
// checks that nothing wrong happens when they continue.
func TestPausedProcessesKeepGuarantees(t *testing.T) {
	k := mustCluster(t, fewVoters)
	k.startUpstream("lists9", "listesvc", "--unchecked", "--work", "100ms")
	k.startUpstream("frame9", "frameRegister", "--work", "100ms")
	k.awaitSettled(8)
	k.underLoad(14*time.Second, func() {
		for _, name := range []string{"frame9", "lists9", "host3", fmt.Sprintf("host%d", k.leaderIndex())} {
			k.signal(name, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			k.signal(name, syscall.SIGCONT)
		}
	})
	k.awaitSettled(8)
}

// TestLostDiskThenSecondLoss deletes the leader's data, replaces the host, and as soon as the replacement is reported complete
// kills as many hosts as the group tolerates. The group must still elect a leader: the report must not come too early.
func TestLostDiskThenSecondLoss(t *testing.T) {
	for _, voters := range []int{fewVoters, moreVoters} {
		t.Run(fmt.Sprint(voters, " voters"), func(t *testing.T) {
			k := mustCluster(t, voters)
			k.underLoad(9*time.Second, func() {
				lost := k.leaderIndex()
				k.kill(lost)
				k.c.Assert(os.RemoveAll(filepath.Join(k.folder, fmt.Sprintf("data%d", lost))), qt.IsNil)
				k.startHost(lost)
				k.eventually("replacement", func() bool { return k.run("hosts", "replace", k.host[lost].peers, k.host[lost].peers) == nil })
				for i := range (voters - 1) / 2 {
					k.kill((lost + 1 + i) % voters)
				}
			})
			k.eventually("a leader after the second loss", func() bool { _, ok := k.status(); return ok })
			k.mustRun("publish", "../../../_fixtures/services")
		})
	}
}

// TestOperatorsRace publishes twice at once on the same base version: one publish is accepted and the other is not. Repeating the
// accepted one after the leader was killed must return its outcome again.
func TestOperatorsRace(t *testing.T) {
	k := mustCluster(t, fewVoters)
	s, ok := k.status()
	k.c.Assert(ok, qt.IsTrue)
	base := fmt.Sprint(s.ConfigVersion)
	codes := make([]int, 2)
	var wait sync.WaitGroup
	for i := range codes {
		wait.Go(func() {
			err := k.run("publish", "--base", base, "--id", fmt.Sprintf("20260102T150405.000Z-race%d", i), "../../../_fixtures/services")
			var exit *exec.ExitError
			if err != nil && errors.As(err, &exit) {
				codes[i] = exit.ExitCode()
			}
		})
	}
	wait.Wait()
	k.c.Assert(codes[0]+codes[1], qt.Equals, 3, qt.Commentf("exit codes of which one should be 0 and one 3: %v", codes))
	won := 0
	if codes[0] != 0 {
		won = 1
	}
	k.kill(k.leaderIndex())
	repeated := k.mustRun("publish", "--base", base, "--id", fmt.Sprintf("20260102T150405.000Z-race%d", won), "../../../_fixtures/services")
	k.c.Assert(repeated, qt.Contains, "accepted as version")
}

// TestPauseDuringRequest stops an upstream by SIGSTOP in the middle of a request, waits until another upstream owns the key and
// has run a second request, and lets the first upstream continue: the request that it had started must have no effect.
func TestPauseDuringRequest(t *testing.T) {
	for _, mode := range []string{"checked", "unchecked"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			k := mustCluster(t, fewVoters)
			args := []string{"--work", "400ms"}
			if mode == "unchecked" {
				args = append(args, "--unchecked")
			}
			k.startUpstream("frame9", "frameRegister", args...)
			k.awaitSettled(7)
			key := k.keyOf("frame9")
			go func() { _ = k.closeFrame(key, "first") }()
			time.Sleep(150 * time.Millisecond)
			k.signal("frame9", syscall.SIGSTOP)
			attempts := 0
			k.eventually("another owner", func() bool {
				attempts++
				return k.closeFrame(key, fmt.Sprint("second", attempts)) == "done"
			})
			k.signal("frame9", syscall.SIGCONT)
			time.Sleep(time.Second)
			names, err := filepath.Glob(filepath.Join(k.folder, "*.journal"))
			k.c.Assert(err, qt.IsNil)
			executions, err := load.ReadJournals(names)
			k.c.Assert(err, qt.IsNil)
			v := load.Verify(load.Result{}, executions)
			k.c.Assert(v.Violated(), qt.IsFalse, qt.Commentf("%+v", v))
		})
	}
}

// keyOf returns a key that the upstream owns; it waits until the upstream has been given slices.
func (k *cluster) keyOf(upstream string) (key string) {
	k.c.Helper()
	k.eventually("a key of "+upstream, func() bool {
		for i := range 40 {
			key = fmt.Sprintf("key%d", i)
			out, err := k.command("--json", "owners", "--service", "frameRegister", key)
			if err == nil && strings.Contains(out, `"owner": "`+upstream+`"`) {
				return true
			}
		}
		return false
	})
	return key
}

// closeFrame sends a write ("closure") for a key through the host that has only the entry role, and returns the outcome.
func (k *cluster) closeFrame(key, id string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+k.host[k.voters].callers+"/frames/"+key+"/closure", strings.NewReader("x"))
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
