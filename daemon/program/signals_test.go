package program

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

// daemonSettings are valid settings of each daemon.
var daemonSettings = map[string]string{
	"lilacbridge-state": "name: s\ndata_center: a\nlink: 127.0.0.1:1\nadmin: 127.0.0.1:2\nlink_key: key-of-these-tests\nbootstrap: true\ndata: data\n",
	"lilacbridge-entry": "name: e\ndata_center: a\nlink: 127.0.0.1:1\nadmin: 127.0.0.1:2\nlink_key: key-of-these-tests\nstate: [{name: s, address: \"127.0.0.1:3\", data_center: a}]\n" +
		"gateway:\n  callers: 127.0.0.1:4\n  readiness: 127.0.0.1:5\n  server_list: 127.0.0.1:6\n",
}

// programs is the folder of the daemons' programs.
var programs string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "program")
	if err == nil {
		var out []byte
		out, err = exec.Command("go", "build", "-o", folder+"/", "../../cmd/lilacbridge-entry", "../../cmd/lilacbridge-state").CombinedOutput()
		os.Stderr.Write(out)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = folder
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// signalWhileReading starts the daemon, sends it the signal while it waits for its settings, lets it
// read them, and returns how it ended.
func signalWhileReading(t *testing.T, name string, s syscall.Signal, text string) *os.ProcessState {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	command := exec.Command(filepath.Join(programs, name), "--settings", file)
	command.Dir = t.TempDir()
	is.NoErr(command.Start())
	// Opening a pipe waits for its reader.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(command.Process.Signal(s))
	// The write fails if the signal has ended the process, which its state shows.
	_, _ = pipe.WriteString(text)
	pipe.Close()
	if err := command.Wait(); !errors.As(err, new(*exec.ExitError)) {
		is.NoErr(err)
	}
	return command.ProcessState
}

// Guards against a process that ends by SIGHUP because it has not read its settings yet.
func TestHangUpBeforeSettingsAreReadEndsNoProcess(t *testing.T) {
	for name, text := range daemonSettings {
		t.Run(name, func(t *testing.T) {
			ended := signalWhileReading(t, name, syscall.SIGHUP, text+"no_such_field: 1\n")
			is.New(t).Equal(ended.ExitCode(), settings.ExitCode)
		})
	}
}

// Guards against a process that is stopped while it starts and ends as if it had failed.
func TestStopBeforeSettingsAreReadEndsRegularly(t *testing.T) {
	for name, text := range daemonSettings {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(signalWhileReading(t, name, syscall.SIGTERM, text).ExitCode(), 0)
		})
	}
}

// Guards against signals that are asked for only after packages whose initialization takes most of
// the time before main.
func TestSignalsAreReceivedBeforeOtherPackagesAreInitialized(t *testing.T) {
	for name := range daemonSettings {
		t.Run(name, func(t *testing.T) {
			command := exec.Command(filepath.Join(programs, name), "--version")
			command.Env = append(os.Environ(), "GODEBUG=inittrace=1")
			var trace bytes.Buffer
			command.Stderr = &trace
			is.New(t).NoErr(command.Run())
			before, after, found := strings.Cut(trace.String(), "init github.com/lilacbridge/lilacbridge/daemon/signals @")
			is.New(t).True(found)
			for _, slow := range []string{"google.golang.org/protobuf/", "github.com/prometheus/", "github.com/go-kratos/"} {
				is.New(t).True(!strings.Contains(before, "init "+slow))
				is.New(t).True(strings.Contains(after, "init "+slow))
			}
		})
	}
}

type testSettings struct{ settings.Common }

func (s *testSettings) Validate() error                  { return nil }
func (s *testSettings) Shared() *settings.Common         { return &s.Common }
func (s *testSettings) Machine() *settings.ProcessLimits { return &settings.ProcessLimits{} }

// testDaemon counts the reloads of its keys and ends after the first.
type testDaemon struct{ keys chan struct{} }

func (d *testDaemon) Run(context.Context) error  { <-d.keys; return nil }
func (d *testDaemon) Reload(*testSettings) error { return nil }
func (d *testDaemon) ReloadKeys()                { close(d.keys) }

// Guards against a SIGHUP that is lost, since it comes after the keys were read and before the
// daemon runs.
func TestHangUpWhileOpeningIsNotLost(t *testing.T) {
	is := is.New(t)
	open := func(*testSettings, hclog.Logger) (Daemon, error) {
		return &testDaemon{keys: make(chan struct{})}, syscall.Kill(os.Getpid(), syscall.SIGHUP)
	}
	is.NoErr(run(t.Context(), &testSettings{}, settingsFile{name: filepath.Join(t.TempDir(), "settings")}, open))
}
