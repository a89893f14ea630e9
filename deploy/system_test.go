package deploy

import (
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/internal/loopback"
)

const (
	systemFile = "deploy/system.toml"
	// buildFolder is the only folder to which a build may write.
	buildFolder = "target"
	// templateLimit is the size in bytes that a template must stay below.
	templateLimit = 64 << 10
	// rolesOfMachine is how many roles a machine may run.
	rolesOfMachine = 2
	// pollInterval is the time between two looks at a process that starts.
	pollInterval = 20 * time.Millisecond
)

// system is the content of the deploy file.
type system struct {
	Build    string
	Packages []string
	Roles    map[string]role
}

type role struct {
	Run      string
	On       string
	Share    float64
	Count    int
	Apart    bool
	Serves   []string
	Template string
	Metrics  string
	Env      map[string]string
}

func readSystem(t *testing.T) *system {
	s := &system{}
	meta, err := toml.DecodeFile(filepath.Join(root, systemFile), s)
	is.New(t).NoErr(err)
	is.New(t).Equal(len(meta.Undecoded()), 0)
	return s
}

var (
	metricsPattern = regexp.MustCompile(`^[1-9][0-9]{0,4}/[\w/.-]+$`)
	envPattern     = regexp.MustCompile(`^[A-Z][A-Z0-9_]*$`)
	// refusedEnv match names that the platform or a runtime reads.
	refusedEnv = regexp.MustCompile(`^(PATH|HOME|LANG|TZ|LILACBRIDGE_CONFIG|(LD_|JAVA|NODE_|PYTHON|GO|MALLOC_).*)$`)
)

// problems returns what the platform would refuse in a role, other than its template.
func (r role) problems() []string {
	var list []string
	program, _, _ := strings.Cut(r.Run, " ")
	if path.Clean(program) != program || path.Dir(program) != buildFolder {
		list = append(list, fmt.Sprintf("run: %q is no program in %s/; shells and helpers are refused", program, buildFolder))
	}
	if r.On == "" {
		list = append(list, "on: no class of machines")
	}
	if r.Count == 0 && (r.Share <= 0 || r.Share > 1) || r.Count < 0 || r.Count > 0 && r.Share != 0 {
		list = append(list, "share: either share, above 0 and at most 1, or count is needed")
	}
	for _, side := range r.Serves {
		if side != "frontend" && side != "control_plane" {
			list = append(list, fmt.Sprintf("serves: %q is unknown", side))
		}
	}
	if r.Metrics != "" && !metricsPattern.MatchString(r.Metrics) {
		list = append(list, fmt.Sprintf("metrics: %q is not PORT/PATH", r.Metrics))
	}
	for name := range r.Env {
		if !envPattern.MatchString(name) || refusedEnv.MatchString(name) {
			list = append(list, fmt.Sprintf("env: the name %q is refused", name))
		}
	}
	return list
}

// Guards against a deploy file that the platform refuses.
func TestDeployFileIsAccepted(t *testing.T) {
	is := is.New(t)
	s := readSystem(t)
	is.True(s.Build != "")
	is.True(len(s.Roles) > 0)
	count, served := map[string]int{}, map[string]bool{}
	for name, r := range s.Roles {
		for _, problem := range r.problems() {
			t.Errorf("role %s: %s", name, problem)
		}
		info, err := os.Stat(filepath.Join(root, r.Template))
		is.NoErr(err)
		is.True(info.Size() < templateLimit)
		if count[r.On]++; count[r.On] > rolesOfMachine {
			t.Errorf("more than %d roles run on %s", rolesOfMachine, r.On)
		}
		for _, side := range r.Serves {
			if served[r.On+" "+side] {
				t.Errorf("two roles on %s serve %s", r.On, side)
			}
			served[r.On+" "+side] = true
		}
	}
}

// Guards against a check that misses a refused field.
func TestRefusedRolesAreRecognized(t *testing.T) {
	sound := role{Run: "target/lilacbridge-entry --settings file", On: "frontend", Share: 1, Serves: []string{"frontend"}, Metrics: "9464/metrics",
		Env: map[string]string{"LOG_LEVEL": "info"}}
	is.New(t).Equal(sound.problems(), nil)
	cases := map[string]func(*role){
		"program outside of the build folder": func(r *role) { r.Run = "bin/lilacbridge-entry" },
		"program above the build folder":      func(r *role) { r.Run = "target/../lilacbridge-entry" },
		"shell":                               func(r *role) { r.Run = "sh -c target/lilacbridge-entry" },
		"helper":                              func(r *role) { r.Run = "env A=1 target/lilacbridge-entry" },
		"no class of machines":                func(r *role) { r.On = "" },
		"share above 1":                       func(r *role) { r.Share = 1.5 },
		"no share":                            func(r *role) { r.Share = 0 },
		"share and count":                     func(r *role) { r.Count = 1 },
		"unknown side":                        func(r *role) { r.Serves = []string{"everyone"} },
		"metrics without a port":              func(r *role) { r.Metrics = "/metrics" },
		"search path":                         func(r *role) { r.Env = map[string]string{"PATH": "/bin"} },
		"variable of the linker":              func(r *role) { r.Env = map[string]string{"LD_LIBRARY_PATH": "target"} },
		"variable of a runtime":               func(r *role) { r.Env = map[string]string{"PYTHONPATH": "target"} },
		"variable of the Go runtime":          func(r *role) { r.Env = map[string]string{"GOMAXPROCS": "4"} },
		"variable in lower case":              func(r *role) { r.Env = map[string]string{"log_level": "info"} },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			r := sound
			change(&r)
			is.New(t).Equal(len(r.problems()), 1)
		})
	}
}

// entry is what a build or a process may change of a file.
type entry struct {
	mode     fs.FileMode
	size     int64
	modified time.Time
}

// list returns everything below the folder except git's own files.
func list(t *testing.T, folder string) map[string]entry {
	files := map[string]entry{}
	err := filepath.WalkDir(folder, func(file string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == ".git" {
			return filepath.SkipDir
		}
		info, err := d.Info()
		files[strings.TrimPrefix(file, folder)] = entry{info.Mode(), info.Size(), info.ModTime()}
		return err
	})
	is.New(t).NoErr(err)
	return files
}

// changed returns the sorted paths that differ.
func changed(before, after map[string]entry) []string {
	var paths []string
	for file, e := range after {
		if old, found := before[file]; !found || old != e {
			paths = append(paths, file)
		}
	}
	for file := range before {
		if _, found := after[file]; !found {
			paths = append(paths, file)
		}
	}
	slices.Sort(paths)
	return paths
}

// cleanCheckout returns a clone of the repository with the changes that are not committed yet. It
// contains no ignored file, such as those of earlier builds.
func cleanCheckout(t *testing.T) string {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "checkout")
	out, err := exec.Command("git", "clone", "--quiet", root, folder).CombinedOutput()
	if err != nil {
		t.Fatalf("git clone: %v: %s", err, out)
	}
	git := func(arguments ...string) []string {
		out, err := exec.Command("git", append([]string{"-C", root}, arguments...)...).Output()
		is.NoErr(err)
		return strings.FieldsFunc(string(out), func(r rune) bool { return r == 0 })
	}
	for _, file := range append(git("diff", "-z", "--name-only", "HEAD"), git("ls-files", "-z", "--others", "--exclude-standard")...) {
		target := filepath.Join(folder, file)
		data, err := os.ReadFile(filepath.Join(root, file))
		if os.IsNotExist(err) {
			is.NoErr(os.RemoveAll(target))
			continue
		}
		is.NoErr(err)
		is.NoErr(os.MkdirAll(filepath.Dir(target), 0o755))
		is.NoErr(os.WriteFile(target, data, 0o644))
	}
	return folder
}

// Guards against a build that works only beside the files of an earlier one or writes outside of
// its folder, and against programs that write to the repository, which they can only read.
func TestCleanCheckoutIsBuiltAndStarted(t *testing.T) {
	is := is.New(t)
	s := readSystem(t)
	checkout := cleanCheckout(t)
	before := list(t, checkout)
	build := exec.Command("sh", "-c", s.Build)
	build.Dir = checkout
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v: %s", s.Build, err, out)
	}
	for _, file := range changed(before, list(t, checkout)) {
		if file != "" && file != "/"+buildFolder && !strings.HasPrefix(file, "/"+buildFolder+"/") {
			t.Errorf("the build changes %s, outside of %s/", file, buildFolder)
		}
	}
	before = list(t, checkout)
	for name, r := range s.Roles {
		program, _, _ := strings.Cut(r.Run, " ")
		startAndStop(t, checkout, program, settingsOf(t, name))
	}
	is.Equal(changed(before, list(t, checkout)), nil)
}

// processSettings are the settings of a process and the address of its administration.
type processSettings struct{ text, admin string }

// settingsOf returns settings with which the program of the role starts by itself.
func settingsOf(t *testing.T, role string) processSettings {
	is := is.New(t)
	var free []string
	for range 4 {
		listener, err := loopback.Listen()
		is.NoErr(err)
		defer listener.Close()
		free = append(free, listener.Addr().String())
	}
	text := fmt.Sprintf("name: a\ndata_center: dc\nlink_key: key-of-these-tests\nlink: %s\nadmin: %s\n", free[0], free[1])
	switch role {
	case "state":
		text += "bootstrap: true\ndata: " + t.TempDir() + "\n"
	case "entry":
		text += fmt.Sprintf("state: [{name: s, address: %q, data_center: dc}]\ngateway:\n  callers: %s\n  readiness: %s\n  server_list: 127.0.0.1:1\n", free[0], free[2], free[3])
	default:
		t.Fatalf("no settings for the role %q", role)
	}
	return processSettings{text, free[1]}
}

// startAndStop starts the program in the checkout, waits until it serves its metrics, and stops it.
func startAndStop(t *testing.T, checkout, program string, s processSettings) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(file, []byte(s.text), 0o600))
	var output strings.Builder
	command := exec.Command(filepath.Join(checkout, program), "--settings", file)
	command.Dir, command.Stdout, command.Stderr = checkout, &output, &output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + t.TempDir()}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	is.NoErr(command.Start())
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	for !serves(s.admin) {
		select {
		case err := <-ended:
			t.Fatalf("%s ended: %v: %s", program, err, output.String())
		case <-time.After(pollInterval):
		}
	}
	is.NoErr(command.Process.Signal(syscall.SIGTERM))
	if err := <-ended; err != nil {
		t.Errorf("%s: %v: %s", program, err, output.String())
	}
}

func serves(address string) bool {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
