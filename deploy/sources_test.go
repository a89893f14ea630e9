// Package deploy checks what users require of a repository before they build and start it.
// docs/notes/hand-in.md lists each requirement and where it is checked.
package deploy

import (
	"errors"
	"io/fs"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = ".."

// requirement is the sentence of the users' pages that rejectedReferences implement.
const requirement = "source files, excluding tests, must not reference the kit's program directory, preloading, " +
	"tracing of other processes or shared memory"

// rejectedReferences match what a source file must not mention, by kind. A match must not
// continue a longer word, so that httptrace is not taken for ptrace.
var rejectedReferences = map[string]*regexp.Regexp{
	"the kit's program directory": regexp.MustCompile(`(?i)\bgiven/+kit\b|\bkit/+(more/+)?system\b|\bsystem/+(more/+[\w-]+/+)?bin\b|\bbin/+fleetbench\b|\bbench-[0-9a-f]{6}\b`),
	"preloading":                  regexp.MustCompile(`(?i)\bld_(preload|audit)\b|\bld\.so\.preload\b|\bdyld_insert_libraries\b|\blinker preload`),
	"tracing of other processes": regexp.MustCompile(`[a-z]Ptrace|(?i)\bptrace|_ptrace|\b[sld]trace\b|\bprocess_?vm_?(read|write)v\b|\bpidfd_?getfd\b|` +
		`\bperf_?event_?open\b|\bgdb\b|/proc/[^/\s"'` + "`" + `]+/(task/[^/\s]+/)?mem\b`),
	"shared memory": regexp.MustCompile(`(?i)/(dev|run)/+shm\b|\bshm_?(open|get|at|dt|ctl|unlink)\b|\bsysv_?shm|\bsys_?shm|\bmemfd_?create\b|` +
		`\bmap_shared|\bshared[ _-]?mem(ory)?\b`),
}

// rejectedKind returns the kind of a reference in the line that is rejected, or "".
func rejectedKind(line string) string {
	for kind, pattern := range rejectedReferences {
		if pattern.MatchString(line) {
			return kind
		}
	}
	return ""
}

// isSource reports whether the file is source code in any language, other than a test. That only
// tests import a file does not make it one.
func isSource(file string) bool {
	for _, folder := range []string{"docs/", "journal/"} {
		if strings.HasPrefix(file, folder) {
			return false
		}
	}
	if strings.HasSuffix(file, "_test.go") || strings.Contains(file, "/testdata/") {
		return false
	}
	switch path.Ext(file) {
	case ".md", ".txt", ".json", ".sum":
		return false
	}
	return true
}

// sources returns all source files of a repository, sorted, including those not committed yet.
func sources(t *testing.T, repository string) []string {
	out, err := exec.Command("git", "-C", repository, "ls-files", "-z", "--cached", "--others", "--exclude-standard").Output()
	is.New(t).NoErr(err)
	var files []string
	for _, file := range strings.Split(strings.TrimSuffix(string(out), "\x00"), "\x00") {
		if isSource(file) {
			files = append(files, file)
		}
	}
	slices.Sort(files)
	return files
}

// reference is a place in a source file that is rejected.
type reference struct {
	file string
	line int
	kind string
	text string
}

// rejected returns the lines of all source files of a repository that are rejected.
func rejected(t *testing.T, repository string) []reference {
	var found []reference
	for _, file := range sources(t, repository) {
		data, err := os.ReadFile(filepath.Join(repository, file))
		if errors.Is(err, fs.ErrNotExist) {
			continue // Removed, but still in git's index.
		}
		is.New(t).NoErr(err)
		number := 0
		for line := range strings.Lines(string(data)) {
			number++
			if kind := rejectedKind(line); kind != "" {
				found = append(found, reference{file, number, kind, strings.TrimSpace(line)})
			}
		}
	}
	return found
}

// Guards against a source file that makes the users reject the whole repository, wherever in the
// repository it is and whether or not a program contains it.
func TestSourcesContainNoRejectedReference(t *testing.T) {
	for _, r := range rejected(t, root) {
		t.Errorf("%s:%d references %s: %s\n%s", r.file, r.line, r.kind, requirement, r.text)
	}
}

// Guards against a check that passes over a file because no program imports it, it is for another
// kind of machine, or it is not committed yet.
func TestRejectedReferencesAreFoundInAllSources(t *testing.T) {
	is := is.New(t)
	repository := t.TempDir()
	const text, kind = "# Mounts /dev/shm.", "shared memory"
	for _, file := range []string{"internal/unused/unused.go", "daemon/mount_arm64.go", "scripts/run.sh", "Makefile", "README.md", "daemon/mount_test.go"} {
		is.NoErr(os.MkdirAll(filepath.Join(repository, filepath.Dir(file)), 0o755))
		is.NoErr(os.WriteFile(filepath.Join(repository, file), []byte("\n"+text+"\n"), 0o600))
	}
	for _, arguments := range [][]string{{"init", "--quiet"}, {"add", "internal", "daemon"}} {
		is.NoErr(exec.Command("git", append([]string{"-C", repository}, arguments...)...).Run())
	}
	is.Equal(rejected(t, repository), []reference{
		{"Makefile", 2, kind, text}, {"daemon/mount_arm64.go", 2, kind, text},
		{"internal/unused/unused.go", 2, kind, text}, {"scripts/run.sh", 2, kind, text},
	})
}

// Guards against a check that misses a way to write a reference, or rejects a word that only looks
// alike.
func TestRejectedReferencesAreRecognized(t *testing.T) {
	const programs, preloading, tracing, sharing = "the kit's program directory", "preloading", "tracing of other processes", "shared memory"
	cases := []struct{ name, line, kind string }{
		{"constant", `const mount = "/dev/shm"`, sharing},
		{"comment", `// The folder is below /dev/shm.`, sharing},
		{"build constraint of another machine", `//go:build arm64 && shm_open`, sharing},
		{"identifier", `fd, err := unix.MemfdCreate("log", 0)`, sharing},
		{"system call by number", `syscall.Syscall(syscall.SYS_SHMGET, key, size, 0)`, sharing},
		{"shared mapping", `unix.Mmap(fd, 0, n, unix.PROT_READ, unix.MAP_SHARED)`, sharing},
		{"prose", `// Replicas exchange messages through shared memory.`, sharing},
		{"another spelling of the mount", `FOLDER=/run/shm/test`, sharing},
		{"environment of a command", `cmd.Env = append(cmd.Env, "LD_PRELOAD="+library)`, preloading},
		{"shell script", `export LD_AUDIT=trace.so`, preloading},
		{"system file", `echo /lib/clock.so >> /etc/ld.so.preload`, preloading},
		{"identifier", `unix.PtraceAttach(pid)`, tracing},
		{"part of an identifier", `attachPtrace(pid)`, tracing},
		{"field", `&syscall.SysProcAttr{Ptrace: true}`, tracing},
		{"constant of the C library", `ptrace(PTRACE_ATTACH, pid, 0, 0);`, tracing},
		{"system call by number", `syscall.SYS_PTRACE`, tracing},
		{"memory of a process", `os.Open(fmt.Sprintf("/proc/%d/mem", pid))`, tracing},
		{"reads of another process", `unix.ProcessVMReadv(pid, local, remote, 0)`, tracing},
		{"command", `strace -f -p "$pid"`, tracing},
		{"relative path", `BENCH=../given/kit/more/system/bin/fleetbench`, programs},
		{"part of the path", `filepath.Join(kit, "system/bin")`, programs},
		{"name of a version", `exec.Command("more/bench-d17393/run")`, programs},

		{"trace of HTTP", `httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{})`, ""},
		{"execution trace", `import "runtime/trace"`, ""},
		{"trace in words", `// backtrace, stack traces and traces of requests`, ""},
		{"own status", `os.ReadFile("/proc/self/status")`, ""},
		{"memory of the machine", `os.ReadFile("/proc/meminfo")`, ""},
		{"shared tables", `// Workers share memory through tables under one lock.`, ""},
		{"device", `os.Open("/dev/null")`, ""},
		{"word that ends alike", `// A small replacement of "washm" and "mapshm".`, ""},
		{"loading in advance", `// Weights are loaded before their first request; see preloadWeights.`, ""},
		{"kit", `kit.Open("system")`, ""},
		{"own programs", `go build -o bin/ ./cmd/...`, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(rejectedKind(c.line), c.kind)
		})
	}
}

// Guards against a source file that the check passes over.
func TestSourcesOfAllLanguagesAreChecked(t *testing.T) {
	is := is.New(t)
	for _, file := range []string{"internal/memfolder/memfolder.go", "daemon/mount_arm64.go", "scripts/soak.sh", "Makefile", ".ci/run", "deploy/system.toml",
		"deploy/entry.yaml.template", "api/lilacbridge/v1/state.proto", "connection/link/shim.c", "tool.py"} {
		is.True(isSource(file))
	}
	for _, file := range []string{"internal/memdisk/memdisk_test.go", "README.md", "docs/notes/hand-in.md", "journal/incidents/hunt-1.token", "go.sum", "KNOWN-RED.txt",
		"process/wal/testdata/fuzz/FuzzRead/seed"} {
		is.True(!isSource(file))
	}
	found := map[string]bool{}
	for _, file := range sources(t, root) {
		found[file] = true
	}
	is.True(found["deploy/system.toml"] && found["cmd/lilacbridge-entry/main.go"] && found["Makefile"])
}
