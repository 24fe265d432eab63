package kit

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Process is one of the project's programs, which runs by a command of the deploy file.
type Process struct {
	Name string
	Log  string // path of the file with its output

	c       *Case
	command string
	env     []string
	files   []*os.File // passed on as descriptors from 3 on
	running *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// DeployCommand returns a command of the deploy file, such as run.
func (c *Case) DeployCommand(key string) string {
	file, err := os.Open(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		name, value, found := strings.Cut(lines.Text(), "=")
		if found && strings.TrimSpace(name) == key {
			command, err := strconv.Unquote(strings.TrimSpace(value))
			c.Must(err)
			return command
		}
	}
	c.Stop("deploy/balancer.toml has no %q", key)
	return ""
}

// StartNode starts a node by the deploy file's run command, with the path of an operator's file in the environment.
func (c *Case) StartNode(name, file string) *Process {
	tmp := filepath.Join(c.Dir, "tmp-"+name)
	c.Must(os.MkdirAll(tmp, 0o700))
	p := &Process{
		Name:    name,
		Log:     filepath.Join(c.Dir, name+".log"),
		c:       c,
		command: c.DeployCommand("run"),
		env:     append(os.Environ(), "STANDPOINT_CONFIG="+file, "TMPDIR="+tmp),
	}
	p.Start()
	c.AtEnd(p.Kill)
	return p
}

// Start starts the process, which must not be running.
func (p *Process) Start() {
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.c.Must(err)
	defer func() { _ = log.Close() }()
	command := exec.Command("/bin/sh", "-c", p.command)
	command.Dir = p.c.Root
	command.Env = p.env
	command.ExtraFiles = p.files
	command.Stdout = log
	command.Stderr = log
	p.c.Must(command.Start())
	exited := make(chan struct{})
	p.running = command
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	p.c.Note("%s: started, process %d", p.Name, command.Process.Pid)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.c.Note("%s: %v", p.Name, signal)
	_ = p.running.Process.Signal(signal)
}

// Ended reports whether the process has ended within a time.
func (p *Process) Ended(limit time.Duration) bool {
	select {
	case <-p.exited:
		p.c.Note("%s: ended, %v", p.Name, p.running.ProcessState)
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.running.Process.Signal(syscall.SIGCONT)
	_ = p.running.Process.Kill()
	<-p.exited
	p.c.Note("%s: killed", p.Name)
}

// Ready reports whether a node takes clients at an address.
func Ready(address string) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// LogLine returns the first line of the log that contains a text, "" if there is none.
func (p *Process) LogLine(text string) string {
	raw, _ := os.ReadFile(p.Log)
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// Command runs one of the node's commands, such as ledger, and returns what it prints.
func (c *Case) Command(args ...string) (string, error) {
	command := exec.Command(filepath.Join(c.Root, "bin", "standpoint"), args...)
	command.Dir = c.Dir
	out, err := command.CombinedOutput()
	text := strings.TrimSpace(string(out))
	if shown := strings.Join(args, " ") + text; shown != c.lastCommand { // the same answer once more is left out
		c.lastCommand = shown
		c.Note("standpoint %s:\n%s", strings.Join(args, " "), indent(text))
	}
	if err != nil {
		return text, fmt.Errorf("standpoint %s: %w: %s", args[0], err, text)
	}
	return text, nil
}

// indent indents the lines of a text for the record.
func indent(text string) string {
	return "            " + strings.ReplaceAll(text, "\n", "\n            ")
}
